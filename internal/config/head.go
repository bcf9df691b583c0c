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

// filePrefix is the prefix of the keys of file objects.
const filePrefix = "config/files/"

// maxEdits is the number of edit records that a head keeps. The outcome of an edit whose
// answer was lost can be determined until that many other edits have followed it.
const maxEdits = 32

// maxChangedNames bounds the number of file names in one edit record.
const maxChangedNames = 16

// FileRef identifies one version of a file.
type FileRef struct {
	// Name is the file's name.
	Name string `json:"name"`
	// Digest is the hex SHA-256 digest of the content.
	Digest string `json:"digest"`
	// Nonce identifies the run of the edit that wrote the content; empty if it is not
	// written yet. Each edit writes its own objects, so that a removed object is never
	// needed again.
	Nonce string `json:"nonce,omitempty"`
}

// key returns the key of the object that contains the content.
func (r FileRef) key() string { return filePrefix + r.Digest + "-" + r.Nonce }

// EditRecord is one accepted edit in a head.
type EditRecord struct {
	// ID identifies the edit; operators may choose it.
	ID string `json:"id"`
	// Nonce is random for each run of an edit.
	Nonce string `json:"nonce"`
	// RequestDigest is the digest of the requested change, which distinguishes a repeat from
	// another edit with the same ID.
	RequestDigest string `json:"request"`
	// Revision is the revision that the edit created.
	Revision uint64 `json:"revision"`
	// Changed lists the names of the changed files, or describes the drain. After
	// maxChangedNames names, the others are replaced by "...".
	Changed []string `json:"changed"`
}

// Head is one revision of the configuration: its files and its drains.
type Head struct {
	// Revision increases with each accepted edit, by one unless Publisher.MinRevision is
	// higher.
	Revision uint64 `json:"revision"`
	// Files are sorted by name.
	Files []FileRef `json:"files"`
	// DrainedZones lists the names of the drained availability zones, sorted.
	DrainedZones []string `json:"drained_availability_zones,omitempty"`
	// DrainedInstances lists the names of the drained instances, sorted.
	DrainedInstances []string `json:"drained_instances,omitempty"`
	// Edits are the most recent accepted edits, newest last.
	Edits []EditRecord `json:"edits"`
	// Dropped lists the keys of file objects that earlier edits stopped using and that a
	// later edit will remove.
	Dropped []string `json:"dropped,omitempty"`
}

// envelope is the stored form of a head, with the digest of the encoded head.
type envelope struct {
	Digest string          `json:"digest"`
	Head   json.RawMessage `json:"head"`
}

// HeadError reports that an encoded head, or a file that it refers to, cannot be used.
type HeadError struct{ text string }

// Error returns the reason why the head cannot be used.
func (e *HeadError) Error() string { return "configuration head: " + e.text }

// Encode returns the stored form of h, which includes a digest.
func (h *Head) Encode() []byte {
	raw, err := json.Marshal(h)
	if err != nil {
		panic(err) // cannot happen: a Head contains only strings and numbers
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
		return nil, &HeadError{"not a JSON object with digest and head"}
	}
	if Digest(e.Head) != e.Digest {
		return nil, &HeadError{"digest does not match the content"}
	}
	var h Head
	if err := json.Unmarshal(e.Head, &h); err != nil {
		return nil, &HeadError{"content is not a JSON-encoded head"}
	}
	if h.Revision == 0 || len(h.Files) > maxFiles {
		return nil, &HeadError{"revision or number of files out of range"}
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

// findRef returns the file with the name from a list that is sorted by name.
func findRef(refs []FileRef, name string) (FileRef, bool) {
	i, ok := slices.BinarySearchFunc(refs, name, func(r FileRef, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		return FileRef{}, false
	}
	return refs[i], true
}

// clone returns a copy of h whose lists can be changed independently.
func (h *Head) clone() *Head {
	c := *h
	c.Files = slices.Clone(h.Files)
	c.DrainedZones = slices.Clone(h.DrainedZones)
	c.DrainedInstances = slices.Clone(h.DrainedInstances)
	c.Edits = slices.Clone(h.Edits)
	c.Dropped = slices.Clone(h.Dropped)
	return &c
}

// findEdit returns the record of the edit with the ID.
func (h *Head) findEdit(id string) (EditRecord, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e, true
		}
	}
	return EditRecord{}, false
}

// appendEdit appends e to the edit records and removes the oldest ones beyond maxEdits.
func (h *Head) appendEdit(e EditRecord) {
	if len(e.Changed) > maxChangedNames {
		e.Changed = append(slices.Clone(e.Changed[:maxChangedNames]), "...")
	}
	h.Edits = append(h.Edits, e)
	if extra := len(h.Edits) - maxEdits; extra > 0 {
		h.Edits = slices.Delete(h.Edits, 0, extra)
	}
}

// Contents returns the content of a file by its digest; ok is false if it is missing.
type Contents func(digest string) (content []byte, ok bool)

// contentStore is a set of file contents by digest.
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

// Build merges and checks the files of h and returns the resulting configuration.
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
