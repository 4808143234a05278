package keeper

import (
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
)

const (
	// placesFolder is beside the log, so that a failure of one doesn't touch the other.
	placesFolder    = "places"
	placesName      = "places"
	temporaryPlaces = "places.tmp"
)

// placesFile keeps the latest places over a loss of all processes or of power. It may
// be some hundred milliseconds old: a place that is missing or wrong costs reading a
// prompt once more, nothing else.
type placesFile struct {
	fs     disk.FS
	folder string
}

// load returns the places that were saved last, none if there are none.
func (f placesFile) load() ([]*chicoryv1.PromptPlace, error) {
	if err := f.fs.MkdirAll(f.folder); err != nil {
		return nil, errors.Trace(err)
	}
	names, err := f.fs.List(f.folder)
	if err != nil || !slices.Contains(names, placesName) {
		return nil, errors.Trace(err)
	}
	b, err := f.fs.ReadFile(filepath.Join(f.folder, placesName))
	if err != nil {
		return nil, errors.Trace(err)
	}
	saved := &chicoryv1.ShareRequest{}
	if err := proto.Unmarshal(b, saved); err != nil {
		return nil, errors.Annotate(err, "file of places")
	}
	return saved.GetPlaces(), nil
}

// save replaces the saved places.
func (f placesFile) save(places []*chicoryv1.PromptPlace) error {
	b, err := proto.Marshal(&chicoryv1.ShareRequest{Places: places})
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.fs.MkdirAll(f.folder); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(disk.Replace(f.fs, f.folder, temporaryPlaces, placesName, b))
}
