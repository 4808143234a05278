package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
)

// TestQuarantineOutlivesTheLossOfAllPower guards against a request that crashes targets again
// after all VMs were lost at once.
func TestQuarantineOutlivesTheLossOfAllPower(t *testing.T) {
	d := disktest.New()
	entry := quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }})
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		entry.RecordLoss([]string{"deadly"}, quarantine.Loss{Target: quarantine.Target{Address: fmt.Sprint(i)}, SentAt: at, At: at})
	}
	sync := func(board *feed.SharedState) *promptLocationSync {
		return &promptLocationSync{board: board, file: promptLocationFile{fs: d.Mount(), folder: "places"}, log: logging.Discard()}
	}
	before := feed.NewSharedState()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		sync(before).run(ctx)
		close(done)
	}()
	suspects, _ := entry.All(time.Now())
	time.Sleep(promptLocationSaveInterval / 2) // run reads the state that is saved already first
	before.MergeSuspects(suspects, time.Now())
	time.Sleep(2 * promptLocationSaveInterval)
	cancel()
	<-done
	d.Crash(func(int) int { return 0 })

	after := feed.NewSharedState()
	sync(after).load()
	kept, _ := after.SuspectsSince(0, time.Now())
	late := quarantine.NewTable(quarantine.Options{Random: func() float64 { return 0 }})
	late.Merge(kept, time.Now())
	assert.Assert(t, late.Admit([]string{"deadly"}, time.Now()).Refused)
}
