package keeper

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// promptLocationSaveInterval is the time between two saves. A prompt location is useful
// for some seconds after the prompt's generation was interrupted.
const promptLocationSaveInterval = 500 * time.Millisecond

// promptLocationSync copies the prompt locations and suspect keys of the leader's shared state to
// this VM, and the locations and the keys in quarantine to its disk, so that the engines with
// callers' prompts, and the requests that crash targets, are still known after all processes were
// lost at once.
type promptLocationSync struct {
	board *feed.SharedState
	list  *observe.TargetListPoller
	// received is the list of the feed that is followed. Only one is.
	received atomic.Pointer[receivedList]
	file     promptLocationFile
	log      *logging.Logger
}

// receivedList is a list that another VM has read.
type receivedList struct {
	list    *chicoryv1.TargetList
	reading observe.Reading
}

func (p *Process) newPromptLocationSync(board *feed.SharedState) *promptLocationSync {
	return &promptLocationSync{
		board: board,
		list:  p.targetList,
		file:  promptLocationFile{fs: p.replica.options.FS, folder: filepath.Join(p.settings.DataFolder, promptLocationFolder)},
		log:   p.log,
	}
}

// load adds what was saved to this VM's shared state.
func (s *promptLocationSync) load() {
	saved, err := s.file.load()
	if err != nil {
		s.log.Warn(logging.PlacesLost, logging.Fields{"reason": err})
		return
	}
	s.board.AddPromptLocations(saved.GetPlaces())
	s.board.MergeSuspects(saved.GetSuspects(), time.Now())
	s.log.Info(logging.PlacesLoaded, logging.Fields{"places": len(saved.GetPlaces()), "quarantined": len(saved.GetSuspects())})
}

// run saves the prompt locations and the keys in quarantine whenever they change, until ctx ends.
func (s *promptLocationSync) run(ctx context.Context) {
	_, savedLocations := s.board.PromptLocationsSince(0)
	_, savedKeys := s.board.Quarantined(time.Now())
	failed := false
	for pause.For(ctx, promptLocationSaveInterval) {
		places, locations := s.board.PromptLocationsSince(0)
		quarantined, keys := s.board.Quarantined(time.Now())
		if locations == savedLocations && keys == savedKeys {
			continue
		}
		err := s.file.save(places, quarantined)
		if err != nil && !failed {
			s.log.Warn(logging.PlacesLost, logging.Fields{"reason": err, "places": len(places), "quarantined": len(quarantined)})
		}
		if failed = err != nil; !failed {
			savedLocations, savedKeys = locations, keys
		}
	}
}

// The methods of feed.Sink: a control VM that is not the leader takes the prompt locations,
// the suspect parts and the target list from the leader's feed.

// AddPromptLocations implements feed.Sink. It accepts prompt locations only from the leader:
// control VMs that accepted them from each other would pass outdated ones around
// indefinitely.
func (s *promptLocationSync) AddPromptLocations(places []*chicoryv1.PromptPlace, fromLeader bool) {
	if fromLeader {
		s.board.AddPromptLocations(places)
	}
}

// MergeSuspects implements feed.Sink. It accepts them only from the leader, like prompt
// locations.
func (s *promptLocationSync) MergeSuspects(suspects []*chicoryv1.SuspectPart, fromLeader bool) {
	if fromLeader {
		s.board.MergeSuspects(suspects, time.Now())
	}
}

// SetRemoteState implements feed.Sink; only entry VMs use it.
func (s *promptLocationSync) SetRemoteState(feed.RemoteState) {}

// ApplyDeclaration implements feed.Sink; the log has the declarations.
func (s *promptLocationSync) ApplyDeclaration(*chicoryv1.Declaration, string) {}

// SetTargets implements feed.Sink.
func (s *promptLocationSync) SetTargets(list *chicoryv1.TargetList, reading observe.Reading) {
	s.received.Store(&receivedList{list, reading})
}

// ConfirmTargets implements feed.Sink. It takes over the list that the followed VM has read
// or taken over itself; a list that two VMs pass to each other grows old.
func (s *promptLocationSync) ConfirmTargets() {
	if r := s.received.Load(); r != nil {
		s.list.Accept(r.list, r.reading)
	}
}

// DeclaredVersion implements feed.Sink. The maximum version means that no declaration is
// needed.
func (s *promptLocationSync) DeclaredVersion() uint64 { return ^uint64(0) }

// LocalState implements feed.Sink; a control VM has no engines and so nothing to share.
func (s *promptLocationSync) LocalState(bool) *chicoryv1.ShareRequest { return nil }
