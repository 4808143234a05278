package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
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
	var before *chicoryv1.ShareRequest
	for pause.For(ctx, ShareInterval) {
		f.mu.Lock()
		leader := f.leader
		f.mu.Unlock()
		if leader == "" {
			continue
		}
		request := f.opts.Sink.Share(leader != told)
		if request == nil || leader == told && !isNews(before, request) && time.Since(last) < shareAtLeast {
			continue
		}
		request.EntryId = f.opts.ID
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		client := chicoryv1connect.NewFeedServiceClient(f.opts.Client, peer.PlainURL(leader), peer.Uncompressed)
		_, err := client.Share(callCtx, connect.NewRequest(request))
		cancel()
		told, last, before = leader, time.Now(), request
		if err != nil {
			told = "" // the feed tells of the loss; everything is shared anew
		}
	}
}

// isNews reports whether the others must hear of a change at once. Requests alone are
// no news: they only widen the retry bounds.
func isNews(before, now *chicoryv1.ShareRequest) bool {
	if len(now.GetPlaces()) > 0 || further(before) != further(now) || len(before.GetLoads()) != len(now.GetLoads()) {
		return true
	}
	loads := newSharedLoads(before, time.Time{}).loads
	for _, l := range now.GetLoads() {
		if known, ok := loads[l.GetAddress()]; !ok || known != loadOf(l) {
			return true
		}
	}
	return false
}

func further(r *chicoryv1.ShareRequest) uint64 {
	sum := uint64(0)
	for _, u := range r.GetUses() {
		sum += uint64(u.GetFurtherAttempts())
	}
	return sum
}
