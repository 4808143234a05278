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

// placesInterval is the time between two savings. A prompt is of use for some seconds
// after its run broke off.
const placesInterval = 500 * time.Millisecond

// placesKeeper keeps what the leader's board knows of places on this VM's disk too, so
// that callers find their prompts after everything was lost at once.
type placesKeeper struct {
	board *feed.Board
	file  placesFile
	log   *logging.Logger
}

func (p *Process) newPlacesKeeper(board *feed.Board) *placesKeeper {
	return &placesKeeper{
		board: board,
		file:  placesFile{fs: p.replica.options.FS, folder: filepath.Join(p.settings.DataFolder, placesFolder)},
		log:   p.log,
	}
}

// load puts the saved places on the board.
func (k *placesKeeper) load() {
	places, err := k.file.load()
	if err != nil {
		k.log.Warn(logging.PlacesLost, logging.Fields{"reason": err})
		return
	}
	k.board.AddPlaces(places)
	k.log.Info(logging.PlacesLoaded, logging.Fields{"places": len(places)})
}

// run saves the places whenever there are new ones, until ctx ends.
func (k *placesKeeper) run(ctx context.Context) {
	_, saved := k.board.PlacesSince(0)
	failed := false
	for pause.For(ctx, placesInterval) {
		places, after := k.board.PlacesSince(0)
		if after == saved {
			continue
		}
		err := k.file.save(places)
		if err != nil && !failed {
			k.log.Warn(logging.PlacesLost, logging.Fields{"reason": err, "places": len(places)})
		}
		if failed = err != nil; !failed {
			saved = after
		}
	}
}

// The methods of feed.Sink: a control VM that doesn't lead takes the places from the
// leader's feed and nothing else.

// Places implements feed.Sink. Only the leader's are taken: control VMs that take
// them from each other would send old ones round and round.
func (k *placesKeeper) Places(places []*chicoryv1.PromptPlace, fromLeader bool) {
	if fromLeader {
		k.board.AddPlaces(places)
	}
}

// Shared implements feed.Sink; only entry VMs use it.
func (k *placesKeeper) Shared(feed.Others) {}

// Declaration implements feed.Sink; the log has it.
func (k *placesKeeper) Declaration(*chicoryv1.Declaration, string) {}

// Targets implements feed.Sink; this VM reads the list.
func (k *placesKeeper) Targets(*chicoryv1.TargetList) {}

// Fresh implements feed.Sink.
func (k *placesKeeper) Fresh() {}

// Version implements feed.Sink: no declaration is wanted.
func (k *placesKeeper) Version() uint64 { return ^uint64(0) }

// Share implements feed.Sink: a control VM has no engines.
func (k *placesKeeper) Share(bool) *chicoryv1.ShareRequest { return nil }
