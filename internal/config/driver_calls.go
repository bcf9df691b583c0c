package config

import (
	"context"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// ReadHeadFrom executes ReadHead with one List call, which also returns the store's
// revision from which to watch.
func ReadHeadFrom(ctx context.Context, store platform.Store) HeadRead {
	list, err := store.List(ctx, HeadKey)
	if err != nil {
		return HeadRead{Err: err}
	}
	answer := HeadRead{Revision: list.Revision}
	for _, object := range list.Objects {
		if object.Key == HeadKey {
			answer.Value = object.Value
		}
	}
	return answer
}

// ReadFilesFrom executes ReadFiles.
func ReadFilesFrom(ctx context.Context, store platform.Store, e ReadFiles) FilesRead {
	files, err := FetchFiles(ctx, store, e.Refs)
	return FilesRead{Files: files, Err: err}
}

// WatchHeadFrom executes WatchHead.
func WatchHeadFrom(ctx context.Context, store platform.Store, e WatchHead) WatchEnded {
	result, err := store.Watch(ctx, HeadKey, e.Revision, e.Wait)
	if err != nil {
		return WatchEnded{Err: err}
	}
	answer := WatchEnded{Revision: result.Revision}
	for _, event := range result.Events {
		if event.Object.Key == HeadKey && !event.Deleted {
			answer.Value = event.Object.Value
		}
	}
	return answer
}
