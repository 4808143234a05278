package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const (
	// shareTimeout bounds one sharing; what it would have told is soon told again.
	shareTimeout = 300 * time.Millisecond
	// shareAtLeast is the longest time between two sharings, so that loads count on.
	shareAtLeast = loadLifetime / 3
)

// share tells the leader what this entry VM has at its engines, until ctx ends.
func (f *Follower) share(ctx context.Context) {
	told, last := "", time.Time{}
	for pause.For(ctx, ShareInterval) {
		f.mu.Lock()
		leader := f.leader
		f.mu.Unlock()
		if leader == "" {
			continue
		}
		request := f.opts.Sink.Share(leader != told)
		if request == nil || len(request.GetLoads()) == 0 && len(request.GetPlaces()) == 0 && time.Since(last) < shareAtLeast {
			continue
		}
		request.EntryId = f.opts.ID
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		client := chicoryv1connect.NewFeedServiceClient(f.opts.Client, peer.PlainURL(leader))
		_, err := client.Share(callCtx, connect.NewRequest(request))
		cancel()
		told, last = leader, time.Now()
		if err != nil {
			told = "" // the feed tells of the loss; everything is shared anew
		}
	}
}
