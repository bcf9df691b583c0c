package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// HeadKey is the key of the head object in the platform's store.
const HeadKey = "config/head"

// filePrefix begins the keys of file objects.
const filePrefix = "config/files/"

// maxEdits is the number of edits that a head remembers. An edit whose answer was
// lost can be settled until that many others have followed it.
const maxEdits = 32

// maxChangedNames bounds the file names kept for one edit.
const maxChangedNames = 16

// FileRef names one version of a file.
type FileRef struct {
	// Name is the file's name.
	Name string `json:"name"`
	// Digest is the hex SHA-256 digest of the content.
	Digest string `json:"digest"`
	// Nonce names the run of the edit that wrote the content; empty if it is not
	// written yet. Each edit writes objects of its own, so that a removed object is
	// never needed again.
	Nonce string `json:"nonce,omitempty"`
}

// key returns the key of the object that holds the content.
func (r FileRef) key() string { return filePrefix + r.Digest + "-" + r.Nonce }

// EditRecord is one accepted edit in a head.
type EditRecord struct {
	// ID is the operator's name for the edit.
	ID string `json:"id"`
	// Nonce is random for each run of an edit.
	Nonce string `json:"nonce"`
	// Request is the digest of what was asked, to tell a repeat from another edit with the same ID.
	Request string `json:"request"`
	// Revision is the revision that the edit made.
	Revision uint64 `json:"revision"`
	// Changed names the changed files, or the drain, shortened to a few.
	Changed []string `json:"changed"`
}

// Head is one revision of the configuration: which files it has and what is drained.
type Head struct {
	// Revision grows by one with each accepted edit.
	Revision uint64 `json:"revision"`
	// Files are sorted by name.
	Files []FileRef `json:"files"`
	// DrainedZones names the drained availability zones, sorted.
	DrainedZones []string `json:"drained_availability_zones,omitempty"`
	// DrainedInstances names the drained instances, sorted.
	DrainedInstances []string `json:"drained_instances,omitempty"`
	// Edits are the last accepted edits, newest last.
	Edits []EditRecord `json:"edits"`
	// Dropped holds the keys of file objects that earlier edits stopped using and
	// a later edit removes.
	Dropped []string `json:"dropped,omitempty"`
}

// envelope is the stored form of a head with the digest of its bytes.
type envelope struct {
	Digest string          `json:"digest"`
	Head   json.RawMessage `json:"head"`
}

// HeadError tells that an encoded head cannot be used.
type HeadError struct{ text string }

// Error returns what is wrong with the head.
func (e *HeadError) Error() string { return "configuration head: " + e.text }

// Encode returns the self-checking form of h.
func (h *Head) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // a Head holds only strings and numbers
	}
	out, err := json.Marshal(envelope{Digest: Digest(raw), Head: raw})
	if err != nil {
		panic(err)
	}
	return out
}

// DecodeHead returns the head in raw, or a *HeadError if raw is damaged.
func DecodeHead(raw []byte) (*Head, error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, &HeadError{"not an encoded head"}
	}
	if Digest(e.Head) != e.Digest {
		return nil, &HeadError{"digest does not match"}
	}
	var h Head
	if err := json.Unmarshal(e.Head, &h); err != nil {
		return nil, &HeadError{"unknown form"}
	}
	if h.Revision == 0 || len(h.Files) > maxFiles {
		return nil, &HeadError{"values out of range"}
	}
	return &h, nil
}

// Digest returns the hex SHA-256 digest of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Refs returns the names and digests of files, sorted by name.
func Refs(files []File) []FileRef {
	refs := make([]FileRef, 0, len(files))
	for _, f := range files {
		refs = append(refs, FileRef{Name: f.Name, Digest: Digest(f.Content)})
	}
	slices.SortFunc(refs, func(a, b FileRef) int { return strings.Compare(a.Name, b.Name) })
	return refs
}

// findRef returns the file with the name in a sorted list.
func findRef(refs []FileRef, name string) (FileRef, bool) {
	i, ok := slices.BinarySearchFunc(refs, name, func(r FileRef, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		return FileRef{}, false
	}
	return refs[i], true
}

// clone returns a copy of h that shares nothing with it.
func (h *Head) clone() *Head {
	c := *h
	c.Files = slices.Clone(h.Files)
	c.DrainedZones = slices.Clone(h.DrainedZones)
	c.DrainedInstances = slices.Clone(h.DrainedInstances)
	c.Edits = slices.Clone(h.Edits)
	c.Dropped = slices.Clone(h.Dropped)
	return &c
}

// edit returns the record of the edit with the ID.
func (h *Head) edit(id string) (EditRecord, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return EditRecord{}, false
}

// record appends e and forgets the oldest edits.
func (h *Head) record(e EditRecord) {
	if len(e.Changed) > maxChangedNames {
		e.Changed = append(slices.Clone(e.Changed[:maxChangedNames]), "...")
	}
	h.Edits = append(h.Edits, e)
	if extra := len(h.Edits) - maxEdits; extra > 0 {
		h.Edits = slices.Delete(h.Edits, 0, extra)
	}
}

// Contents finds the content of a file by its digest; ok is false if it is missing.
type Contents func(digest string) (content []byte, ok bool)

// contentStore holds file contents by their digests.
type contentStore map[string][]byte

func newContentStore(files []File) contentStore {
	s := contentStore{}
	s.add(files)
	return s
}

func (s contentStore) add(files []File) {
	for _, f := range files {
		s[Digest(f.Content)] = f.Content
	}
}

// get implements Contents.
func (s contentStore) get(digest string) ([]byte, bool) {
	content, ok := s[digest]
	return content, ok
}

// Build merges and checks the files of h and returns its configuration.
func (h *Head) Build(contents Contents) (*Config, []Problem) {
	files := make([]File, 0, len(h.Files))
	for _, ref := range h.Files {
		content, ok := contents(ref.Digest)
		if !ok || Digest(content) != ref.Digest {
			return nil, []Problem{{File: ref.Name, Text: "the content is missing or damaged"}}
		}
		files = append(files, File{Name: ref.Name, Content: content})
	}
	c, problems := Merge(files)
	if len(problems) > 0 {
		return nil, problems
	}
	c.Revision = h.Revision
	c.DrainedInstances = slices.Clone(h.DrainedInstances)
	for i := range c.AvailabilityZones {
		zone := &c.AvailabilityZones[i]
		zone.Drained = slices.Contains(h.DrainedZones, zone.Name)
	}
	return c, nil
}
