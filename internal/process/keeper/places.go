package keeper

import (
	"context"
	"path/filepath"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// promptLocationSaveInterval is the time between two saves. A prompt location is useful
// for some seconds after the prompt's generation was interrupted.
const promptLocationSaveInterval = 500 * time.Millisecond

// promptLocationSync also stores the prompt locations of the leader's board on this
// VM's disk, so that callers' prompts are found again after all processes were lost at
// once.
type promptLocationSync struct {
	board *feed.Board
	file  promptLocationFile
	log   *logging.Logger
}

func (p *Process) newPromptLocationSync(board *feed.Board) *promptLocationSync {
	return &promptLocationSync{
		board: board,
		file:  promptLocationFile{fs: p.replica.options.FS, folder: filepath.Join(p.settings.DataFolder, promptLocationFolder)},
		log:   p.log,
	}
}

// load adds the saved prompt locations to the board.
func (s *promptLocationSync) load() {
	places, err := s.file.load()
	if err != nil {
		s.log.Warn(logging.PlacesLost, logging.Fields{"reason": err})
		return
	}
	s.board.AddPlaces(places)
	s.log.Info(logging.PlacesLoaded, logging.Fields{"places": len(places)})
}

// run saves the prompt locations whenever there are new ones, until ctx ends.
func (s *promptLocationSync) run(ctx context.Context) {
	_, saved := s.board.PlacesSince(0)
	failed := false
	for pause.For(ctx, promptLocationSaveInterval) {
		places, next := s.board.PlacesSince(0)
		if next == saved {
			continue
		}
		err := s.file.save(places)
		if err != nil && !failed {
			s.log.Warn(logging.PlacesLost, logging.Fields{"reason": err, "places": len(places)})
		}
		if failed = err != nil; !failed {
			saved = next
		}
	}
}

// The methods of feed.Sink: a control VM that is not the leader takes only the prompt
// locations from the leader's feed.

// Places implements feed.Sink. It accepts prompt locations only from the leader:
// control VMs that accepted them from each other would pass outdated ones around
// indefinitely.
func (s *promptLocationSync) Places(places []*chicoryv1.PromptPlace, fromLeader bool) {
	if fromLeader {
		s.board.AddPlaces(places)
	}
}

// Shared implements feed.Sink; only entry VMs use it.
func (s *promptLocationSync) Shared(feed.Others) {}

// Declaration implements feed.Sink; the log has the declarations.
func (s *promptLocationSync) Declaration(*chicoryv1.Declaration, string) {}

// Targets implements feed.Sink; this VM reads the target list itself.
func (s *promptLocationSync) Targets(*chicoryv1.TargetList) {}

// Fresh implements feed.Sink.
func (s *promptLocationSync) Fresh() {}

// Version implements feed.Sink. The maximum version means that no declaration is
// needed.
func (s *promptLocationSync) Version() uint64 { return ^uint64(0) }

// Share implements feed.Sink; a control VM has no engines and so nothing to share.
func (s *promptLocationSync) Share(bool) *chicoryv1.ShareRequest { return nil }
