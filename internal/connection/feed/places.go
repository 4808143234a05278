package feed

import (
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

const (
	placesName = "places"
	// newSuffix marks a file that is not whole yet.
	newSuffix = ".new"
)

// PlacesFile keeps the latest places over a loss of all processes or of power. It may
// be some hundred milliseconds old: a place that is missing or wrong costs reading a
// prompt once more, nothing else.
type PlacesFile struct {
	FS     disk.FS
	Folder string
}

// Load returns the places that were saved last, none if there are none.
func (f PlacesFile) Load() ([]*chicoryv1.PromptPlace, error) {
	names, err := f.FS.List(f.Folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, name := range names {
		if name != placesName {
			continue
		}
		b, err := f.FS.ReadFile(filepath.Join(f.Folder, placesName))
		if err != nil {
			return nil, errors.Trace(err)
		}
		saved := &chicoryv1.ShareRequest{}
		if err := proto.Unmarshal(b, saved); err != nil {
			return nil, errors.Annotate(err, "file of places")
		}
		return saved.GetPlaces(), nil
	}
	return nil, nil
}

// Save replaces the saved places.
func (f PlacesFile) Save(places []*chicoryv1.PromptPlace) error {
	b, err := proto.Marshal(&chicoryv1.ShareRequest{Places: places})
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(f.Folder, placesName)
	if err := f.FS.MkdirAll(f.Folder); err != nil {
		return errors.Trace(err)
	}
	file, err := f.FS.Create(path + newSuffix)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = file.Write(b)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.FS.Rename(path+newSuffix, path); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.FS.SyncFolder(f.Folder))
}
