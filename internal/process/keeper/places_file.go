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
	// promptLocationFolder is next to the log's folder, so that a failure of one does
	// not affect the other.
	promptLocationFolder   = "places"
	promptLocationFileName = "places"
	promptLocationTempName = "places.tmp"
)

// promptLocationFile stores the latest prompt locations and the keys in quarantine, so that they
// survive a loss of all processes or of power. It may be several hundred milliseconds out of
// date: a missing or wrong location only causes a prompt to be processed again, and a missing
// key is found again.
type promptLocationFile struct {
	fs     disk.FS
	folder string
}

// load returns what was saved last, or nothing if nothing was saved.
func (f promptLocationFile) load() (*chicoryv1.ShareRequest, error) {
	if err := f.fs.MkdirAll(f.folder); err != nil {
		return nil, errors.Trace(err)
	}
	names, err := f.fs.List(f.folder)
	if err != nil || !slices.Contains(names, promptLocationFileName) {
		return nil, errors.Trace(err)
	}
	b, err := f.fs.ReadFile(filepath.Join(f.folder, promptLocationFileName))
	if err != nil {
		return nil, errors.Trace(err)
	}
	saved := &chicoryv1.ShareRequest{}
	if err := proto.Unmarshal(b, saved); err != nil {
		return nil, errors.Annotate(err, "decode prompt location file")
	}
	return saved, nil
}

// save replaces what was saved.
func (f promptLocationFile) save(places []*chicoryv1.PromptPlace, quarantined []*chicoryv1.SuspectPart) error {
	b, err := proto.Marshal(&chicoryv1.ShareRequest{Places: places, Suspects: quarantined})
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.fs.MkdirAll(f.folder); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(disk.WriteFileAtomic(f.fs, f.folder, promptLocationTempName, promptLocationFileName, b))
}
