package paths_test

import (
	"fmt"

	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
)

const (
	// knownTime is the time after which a cut must be known and bypassed.
	knownTime = 3 * time.Second
	// healTime is the time after which a cut that has ended must be over.
	healTime = time.Second
)

// keepReceiving sends a request to a target over an open connection every 20 ms until the test ends,
// and waits for the answers.
func keepReceiving(t *testing.T, table *paths.Table, address string) {
	t.Helper()
	c, err := table.Dial(t.Context(), "tcp", address)
	assert.NilError(t, err)
	ticks := time.NewTicker(20 * time.Millisecond)
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	go func() {
		defer ticks.Stop()
		b := make([]byte, 1)
		for range ticks.C {
			if _, err := c.Write([]byte("request")); err != nil {
				return
			}
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
}

// TestSilentPathsAreFoundBesideWorkingOnes guards against a VM that has lost the targets of one
// service, while it hears from those of another one all the time, and takes them for sick.
func TestSilentPathsAreFoundBesideWorkingOnes(t *testing.T) {
	for _, r := range []reaction{hangs, holds} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				keepReceiving(t, table, "t5:1")
				c, err := table.Dial(t.Context(), "tcp", "t1:1")
				assert.NilError(t, err)
				defer func() { assert.NilError(t, c.Close()) }()
				time.Sleep(time.Second)
				n.set(r, "t1:1", "t2:1", "t3:1")
				for range knownTime / (200 * time.Millisecond) {
					for _, address := range []string{"t1:1", "t2:1", "t3:1"} {
						table.Suspect(address, true)
					}
					time.Sleep(200 * time.Millisecond)
				}
				assert.Assert(t, !c.(interface{ IsOpen() bool }).IsOpen(), "a request may still use the silent connection")
				before := len(n.askedHelpers())
				assertServed(t, table)
				assert.Equal(t, len(n.askedHelpers()), before+3)
				assert.Assert(t, !table.IsCutOff())
				n.set(accepts, "t1:1", "t2:1", "t3:1")
				time.Sleep(healTime)
				before = len(n.askedHelpers())
				assertServed(t, table)
				assert.Equal(t, len(n.askedHelpers()), before)
			})
		})
	}
}

// TestVMWithoutTargetsAndOtherVMsRefusesAtOnce guards against a VM that has lost all targets and all
// other entry VMs at once, says that it is ready and lets its callers wait.
func TestVMWithoutTargetsAndOtherVMsRefusesAtOnce(t *testing.T) {
	for _, r := range []reaction{refuses, hangs} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				assertServed(t, table)
				n.set(r, targets...)
				n.setHelpers(r)
				for begin := time.Now(); time.Since(begin) < knownTime; {
					for _, address := range targets {
						_, err := connect(t, table, address)
						assert.Assert(t, err != nil)
					}
					time.Sleep(10 * time.Millisecond)
				}
				asked := len(n.askedHelpers())
				for range 20 {
					assert.Assert(t, !table.CanReachTargets())
					time.Sleep(500 * time.Millisecond)
				}
				asked = len(n.askedHelpers()) - asked
				// One question to each of the four VMs in HelperBackoff: eleven rounds begin in 10 s at most.
				assert.Assert(t, asked <= 44, "%d questions to other VMs in 10 s", asked)
				assertRefusedAtOnce(t, table)
				n.setHelpers(accepts)
				time.Sleep(healTime)
				assert.Assert(t, table.CanReachTargets(), "other VMs are reached again")
				assertServed(t, table)
				n.set(accepts, targets...)
				time.Sleep(healTime)
				assert.Assert(t, !table.IsCutOff())
			})
		})
	}
}

func assertRefusedAtOnce(t *testing.T, table *paths.Table) {
	t.Helper()
	for _, address := range targets {
		took, err := connect(t, table, address)
		var dialErr *paths.DialError
		assert.Assert(t, errors.As(err, &dialErr), "%v", err)
		assert.Assert(t, dialErr.Isolated, "%v", err)
		assert.Assert(t, took <= objective, "%s after %v", address, took)
	}
}

// TestVMThatLosesTheOtherVMsLaterIsNotReady guards against a VM that was cut off from the targets
// first, then from the other entry VMs, and is taken for ready because nobody asks it to connect.
func TestVMThatLosesTheOtherVMsLaterIsNotReady(t *testing.T) {
	for _, r := range []reaction{refuses, hangs} {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				n.set(r, targets...)
				assertServed(t, table)
				time.Sleep(time.Second)
				assert.Assert(t, table.IsCutOff())
				assert.Assert(t, table.CanReachTargets())
				n.setHelpers(r)
				time.Sleep(knownTime)
				for range 20 {
					assert.Assert(t, !table.CanReachTargets())
					time.Sleep(300 * time.Millisecond)
				}
				n.setHelpers(accepts)
				time.Sleep(healTime)
				assert.Assert(t, table.CanReachTargets())
			})
		})
	}
}

// setHelpers sets the reactions of all other entry VMs.
func (n *network) setHelpers(r reaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.others {
		n.helpers[p.PeerAddress] = r
	}
}

// TestTargetsThatAreGoneForAllAreNoCut guards against VMs that take themselves for cut off, or ask
// each other without end, when the targets of a service or all targets are down.
func TestTargetsThatAreGoneForAllAreNoCut(t *testing.T) {
	for _, gone := range [][]string{targets[:3], targets} {
		for _, r := range []reaction{refuses, hangs} {
			t.Run(fmt.Sprint(len(gone), r), func(t *testing.T) {
				run(t, func(t *testing.T, n *network, table *paths.Table) {
					assertServed(t, table)
					n.set(r, gone...)
					for _, address := range gone {
						n.viaPeers[address] = refuses // a helper's own dial ends before it is given up
					}
					begin := time.Now()
					for time.Since(begin) < 5*time.Second {
						for _, address := range gone {
							_, err := connect(t, table, address)
							var dialErr *paths.DialError
							assert.Assert(t, errors.As(err, &dialErr))
							assert.Equal(t, dialErr.Reach, paths.ReachNone)
							table.Suspect(address, true)
						}
						time.Sleep(10 * time.Millisecond)
					}
					assert.Assert(t, !table.IsCutOff())
					assert.Equal(t, len(n.broken), 0)
					// Each target is asked for once in UnreachableTime, at up to 3 VMs.
					limit := len(gone) * 3 * int(time.Since(begin)/paths.Defaults().UnreachableTime+1)
					assert.Assert(t, len(n.askedHelpers()) <= limit, "%d questions", len(n.askedHelpers()))
				})
			})
		}
	}
}

// TestManyBrokenPathsHealWithinASecond guards against a VM that uses other VMs for seconds after its
// paths to many targets work again, since it also reached others all the time.
func TestManyBrokenPathsHealWithinASecond(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.targets = nil
		for i := range 60 {
			n.targets = append(n.targets, fmt.Sprintf("m%d:1", i))
		}
		lost := n.targets[:40]
		keepReceiving(t, table, n.targets[59])
		n.set(refuses, lost...)
		for _, address := range lost {
			_, err := connect(t, table, address)
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.Assert(t, !table.IsCutOff())
		n.set(accepts, lost...)
		time.Sleep(healTime)
		before := len(n.askedHelpers())
		for _, address := range lost {
			_, err := connect(t, table, address)
			assert.NilError(t, err)
		}
		assert.Equal(t, len(n.askedHelpers()), before)
	})
}

// TestSilentSecondOfATargetLosesNoPath guards against a sound target that is paused for a second and
// then reached through other VMs, beside others that answer.
func TestSilentSecondOfATargetLosesNoPath(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		keepReceiving(t, table, "t5:1")
		c, err := table.Dial(t.Context(), "tcp", "t1:1")
		assert.NilError(t, err)
		n.set(holds, "t1:1")
		n.viaPeers["t1:1"] = holds
		dials := n.dials("t1:1")
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			table.Suspect("t1:1", true)
		}
		asked, dials := len(n.askedHelpers()), n.dials("t1:1")-dials
		n.set(accepts, "t1:1")
		n.viaPeers["t1:1"] = accepts
		assert.Equal(t, len(n.broken), 0)
		assert.Assert(t, c.(interface{ IsOpen() bool }).IsOpen())
		assert.Assert(t, dials <= 4 && asked <= 12, "%d connections and %d questions in a second", dials, asked)
		assert.NilError(t, c.Close())
	})
}

// TestVMThatReachesFewTargetsIsNotCutOff guards against a VM that takes itself for cut off, and helps
// no other one, because the few targets that it probed are among many lost ones.
func TestVMThatReachesFewTargetsIsNotCutOff(t *testing.T) {
	for _, busy := range []bool{true, false} {
		t.Run(fmt.Sprintf("busy_%t", busy), func(t *testing.T) {
			run(t, func(t *testing.T, n *network, table *paths.Table) {
				n.targets = nil
				for i := range 60 {
					n.targets = append(n.targets, fmt.Sprintf("m%d:1", i))
				}
				lost, reached := n.targets[:56], n.targets[59]
				if busy {
					keepReceiving(t, table, reached)
				}
				n.set(refuses, lost...)
				for _, address := range lost[:30] {
					_, err := connect(t, table, address)
					assert.NilError(t, err)
				}
				if busy {
					time.Sleep(time.Second)
					assert.Assert(t, !table.IsCutOff())
					return
				}
				time.Sleep(2 * knownTime)
				assert.Assert(t, !table.IsCutOff())
			})
		})
	}
}

// TestVMThatHasReachedNoTargetBlamesNone guards against a VM that starts while it is cut off and counts
// the targets that it can't reach as crashed, before it knows another VM.
func TestVMThatHasReachedNoTargetBlamesNone(t *testing.T) {
	run(t, func(t *testing.T, n *network, table *paths.Table) {
		n.others = nil
		n.set(refuses, targets...)
		assert.Equal(t, table.Blame(t.Context(), targets[0], time.Now(), syscall.ECONNRESET), paths.BlamePath)
		n.set(accepts, targets[1])
		c, err := table.Dial(t.Context(), "tcp", targets[1])
		assert.NilError(t, err)
		_, err = c.Write([]byte("request"))
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 1))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.Equal(t, table.Blame(t.Context(), targets[0], time.Now(), syscall.ECONNRESET), paths.BlameGone)
	})
}
