package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

const (
	// shareTimeout limits the duration of one share call. Everything is sent again
	// after a failed call.
	shareTimeout = 300 * time.Millisecond
	// maxShareInterval is the maximum time between two share calls, so that the shared
	// loads do not expire.
	maxShareInterval = loadLifetime / 3
)

// shareLocalState sends the shared state of this entry VM to the leader until ctx is
// done.
func (f *Follower) shareLocalState(ctx context.Context) {
	sharedWith, sharedAt := "", time.Time{}
	var previous *chicoryv1.ShareRequest
	for pause.For(ctx, ShareInterval) {
		f.mu.Lock()
		leader := f.leader
		f.mu.Unlock()
		if leader == "" {
			continue
		}
		request := f.opts.Sink.LocalState(leader != sharedWith)
		if request == nil || leader == sharedWith && !isUrgent(previous, request) && time.Since(sharedAt) < maxShareInterval {
			continue
		}
		request.EntryId = f.opts.ID
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		client := chicoryv1connect.NewFeedServiceClient(f.opts.Client, peer.PlainURL(leader), peer.Uncompressed, peer.ReadLimit)
		_, err := client.Share(callCtx, connect.NewRequest(request))
		cancel()
		sharedWith, sharedAt, previous = leader, time.Now(), request
		if err != nil {
			sharedWith = "" // share everything again; the feed logs the loss of the leader
		}
	}
}

// isUrgent reports whether a change must be shared immediately. Request counts alone are
// not urgent, since they only raise the retry limits.
func isUrgent(previous, current *chicoryv1.ShareRequest) bool {
	if len(previous.GetLimits()) > 0 || len(current.GetLimits()) > 0 || len(current.GetPlaces()) > 0 || len(current.GetSuspects()) > 0 || len(current.GetSpeeds()) > 0 || furtherAttempts(previous) != furtherAttempts(current) || len(previous.GetLoads()) != len(current.GetLoads()) {
		return true
	}
	if isWaitingUrgent(previous, current) {
		return true
	}
	if !proto.Equal(previous.GetEntryVm(), current.GetEntryVm()) {
		return true
	}
	loads := newEntryState(previous, time.Time{}).loads
	for _, l := range current.GetLoads() {
		if known, ok := loads[l.GetAddress()]; !ok || known != newLoad(l) {
			return true
		}
	}
	return false
}

func furtherAttempts(r *chicoryv1.ShareRequest) uint64 {
	sum := uint64(0)
	for _, u := range r.GetUses() {
		sum += uint64(u.GetFurtherAttempts())
	}
	return sum
}
