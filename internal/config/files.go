package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// Limits of a configuration folder.
const (
	// maxFiles is the maximum number of files in a configuration.
	maxFiles = 1024
	// maxFileSize is the maximum size of a file in bytes.
	maxFileSize = 256 << 10
	// maxTotalSize is the maximum total size of all files in bytes; it fits into one frame.
	maxTotalSize = 4 << 20
	// maxFileName is the maximum length of a file name in bytes.
	maxFileName = 128
)

// Problem is one fault in a configuration, with its file, its line and a suggested fix.
type Problem = strictyaml.Problem

// File is one file of a configuration folder.
type File struct {
	// Name is the file's name without its folder; files are merged in the order of their names.
	Name string
	// Content is the file's text.
	Content []byte
}

// Load reads and merges the folder dir.
func Load(dir string) (*Config, []Problem) {
	files, problems := ReadFolder(os.DirFS(dir))
	if len(problems) > 0 {
		return nil, problems
	}
	return Merge(files)
}

// ReadFolder returns the *.yaml and *.yml files at the root of dir in the order of
// their names. Hidden files and files of other types are skipped.
func ReadFolder(dir fs.FS) ([]File, []Problem) {
	entries, err := fs.ReadDir(dir, ".")
	if err != nil {
		return nil, []Problem{{Text: "the folder cannot be read: " + causeText(err), Fix: "name a folder that contains *.yaml files"}}
	}
	var files []File
	var problems []Problem
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), ".") || !isYAML(e.Name()) && !e.IsDir() {
			continue
		}
		if e.IsDir() {
			problems = append(problems, Problem{File: e.Name(), Text: "subfolders are not read", Fix: "move its files into the configuration folder"})
			continue
		}
		content, err := fs.ReadFile(dir, e.Name())
		if err != nil {
			problems = append(problems, Problem{File: e.Name(), Text: "the file cannot be read: " + causeText(err)})
			continue
		}
		files = append(files, File{Name: e.Name(), Content: content})
	}
	if len(files) == 0 && len(problems) == 0 {
		problems = append(problems, Problem{Text: "the folder contains no *.yaml file", Fix: "name the folder that contains the configuration"})
	}
	return files, problems
}

func isYAML(name string) bool {
	ext := path.Ext(name)
	return ext == ".yaml" || ext == ".yml"
}

func causeText(err error) string {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// sortedFiles returns files in merge order and checks their names, number and sizes.
func sortedFiles(files []File) ([]File, []Problem) {
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	var problems []Problem
	if len(sorted) > maxFiles {
		problems = append(problems, Problem{Text: fmt.Sprintf("the configuration has %d files, more than the limit of %d", len(sorted), maxFiles), Fix: "join small files"})
	}
	total := 0
	for i, f := range sorted {
		total += len(f.Content)
		switch {
		case !isYAML(f.Name) || len(f.Name) > maxFileName || strings.ContainsAny(f.Name, "/\\\x00"):
			problems = append(problems, Problem{File: f.Name, Text: "the file's name is not usable", Fix: "use a plain name that ends in .yaml"})
		case i > 0 && sorted[i-1].Name == f.Name:
			problems = append(problems, Problem{File: f.Name, Text: "two files have this name", Fix: "rename one"})
		case len(f.Content) > maxFileSize:
			problems = append(problems, Problem{File: f.Name, Text: fmt.Sprintf("the file is larger than %d bytes", maxFileSize), Fix: "split it"})
		}
	}
	if total > maxTotalSize {
		problems = append(problems, Problem{Text: fmt.Sprintf("the files are larger than %d bytes in total", maxTotalSize), Fix: "remove objects that are not used"})
	}
	return sorted, problems
}
