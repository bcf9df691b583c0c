package ctl

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// baseFileName is the file in a configuration folder that records the revision and the
// files with which the folder was last synchronised.
const baseFileName = ".gentiantrail-base.json"

// base is the record of a folder's files as they were when it was last synchronised
// with the platform.
type base struct {
	// Revision is the platform's revision at that time.
	Revision uint64 `json:"revision"`
	// Files are the folder's files at that time, sorted by name.
	Files []config.FileRef `json:"files"`
}

// readBase returns the folder's base record, or nil if it has none.
func readBase(dir string) (*base, error) {
	raw, err := os.ReadFile(filepath.Join(dir, baseFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &usageError{"the folder's record " + baseFileName + " cannot be read"}
	}
	var b base
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, &usageError{"the folder's record " + baseFileName + " is damaged; remove it"}
	}
	return &b, nil
}

// writeBase records that files are synchronised with revision.
func writeBase(dir string, revision uint64, files []config.FileRef) error {
	for i := range files {
		files[i].Nonce = ""
	}
	raw, err := json.MarshalIndent(base{Revision: revision, Files: files}, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(dir, baseFileName, append(raw, '\n'))
}

// writeFile replaces a file of a folder atomically.
func writeFile(dir, name string, content []byte) error {
	temporary := filepath.Join(dir, ".gentiantrail-tmp-"+name)
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(dir, name))
}
