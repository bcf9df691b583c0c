package config

import (
	"context"
	"errors"
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Limits for operations on file objects.
const (
	// listThreshold is the number of files above which one List call replaces a Get call
	// for each file.
	listThreshold = 4
	// maxDeletesPerEdit is the maximum number of unused objects that one edit removes.
	maxDeletesPerEdit = 64
)

// upload writes the files of refs that have no object yet and sets their nonces. The
// function content returns the content for a digest.
func (p *Publisher) upload(ctx context.Context, refs []FileRef, nonce string, content Contents) error {
	for i := range refs {
		if refs[i].Nonce != "" {
			continue
		}
		body, ok := content(refs[i].Digest)
		if !ok {
			return platform.ErrConflict
		}
		written := refs[i]
		written.Nonce = nonce
		if err := p.putFile(ctx, written.key(), body); err != nil {
			return err
		}
		refs[i] = written
	}
	return nil
}

// putFile writes one object. Only this run of the edit uses its key, so an object that
// already exists was written by an earlier attempt whose outcome was unknown.
func (p *Publisher) putFile(ctx context.Context, key string, body []byte) error {
	var err error
	for range maxFileAttempts {
		_, err = p.Store.Put(ctx, key, body, 0)
		switch {
		case err == nil || errors.Is(err, platform.ErrConflict):
			return nil
		case errors.Is(err, platform.ErrTooLarge):
			return err
		}
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	// The head was not written, so the edit is not accepted, even if the file was written.
	if errors.Is(err, platform.ErrIndeterminate) {
		return platform.ErrUnavailable
	}
	return err
}

// Files returns the contents of refs, which must come from a head. A missing object
// means that the head has been replaced; the error is then platform.ErrConflict.
func (p *Publisher) Files(ctx context.Context, refs []FileRef) ([]File, error) {
	return FetchFiles(ctx, p.Store, refs)
}

// FetchFiles reads the contents of refs from the store and checks their digests.
func FetchFiles(ctx context.Context, store platform.Store, refs []FileRef) ([]File, error) {
	if len(refs) > listThreshold {
		return listFiles(ctx, store, refs)
	}
	files := make([]File, 0, len(refs))
	for _, ref := range refs {
		object, err := store.Get(ctx, ref.key())
		if errors.Is(err, platform.ErrNotFound) {
			return nil, platform.ErrConflict
		}
		if err != nil {
			return nil, err
		}
		if Digest(object.Value) != ref.Digest {
			return nil, &HeadError{"file " + ref.Name + " is damaged in the platform"}
		}
		files = append(files, File{Name: ref.Name, Content: object.Value})
	}
	return files, nil
}

// listFiles reads all file objects with one List call and returns the contents of refs.
func listFiles(ctx context.Context, store platform.Store, refs []FileRef) ([]File, error) {
	list, err := store.List(ctx, filePrefix)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string][]byte, len(list.Objects))
	for _, o := range list.Objects {
		byKey[o.Key] = o.Value
	}
	files := make([]File, 0, len(refs))
	for _, ref := range refs {
		value, ok := byKey[ref.key()]
		if !ok {
			return nil, platform.ErrConflict
		}
		if Digest(value) != ref.Digest {
			return nil, &HeadError{"file " + ref.Name + " is damaged in the platform"}
		}
		files = append(files, File{Name: ref.Name, Content: value})
	}
	return files, nil
}

// deleteDropped removes objects that from does not use, and returns the keys that remain
// for later edits, including those that next stops using. Objects in use by from remain
// until the edit after next, so that processes that still read from's files find them.
func (p *Publisher) deleteDropped(ctx context.Context, from, next *Head) []string {
	var remaining []string
	for i, key := range from.Dropped {
		if i >= maxDeletesPerEdit {
			remaining = append(remaining, key)
			continue
		}
		err := p.Store.Delete(ctx, key, platform.AnyVersion)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			remaining = append(remaining, key)
		}
	}
	for _, ref := range from.Files {
		if !slices.ContainsFunc(next.Files, func(r FileRef) bool { return r.key() == ref.key() }) {
			remaining = append(remaining, ref.key())
		}
	}
	return remaining
}

// discard removes the file objects of an edit that was not accepted.
func (p *Publisher) discard(ctx context.Context, refs []FileRef, nonce string) {
	for _, ref := range refs {
		if ref.Nonce == nonce {
			_ = p.Store.Delete(ctx, ref.key(), platform.AnyVersion)
		}
	}
}
