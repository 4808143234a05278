package intake

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newBudget(total int64) *Budget { return NewBudget(total, metrics.NewRegistry()) }

// TestReservationsKeepToSharesAndReturnToZero guards against a budget that is exceeded, or that shrinks
// because something that was reserved is never returned.
func TestReservationsKeepToSharesAndReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1000
		b := newBudget(total)
		shares := map[string]float64{"a": 0.2, "b": 0.5, "c": 0.9}
		names := []string{"a", "b", "c"}
		held := map[string][]int64{}
		sum := func(name string) (n int64) {
			for _, h := range held[name] {
				n += h
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "use")
			u := b.Use(name, shares[name])
			if n := len(held[name]); n > 0 && rapid.Bool().Draw(t, "release") {
				u.Release(held[name][n-1])
				held[name] = held[name][:n-1]
				continue
			}
			n := rapid.Int64Range(-1, 600).Draw(t, "bytes")
			all := sum("a") + sum("b") + sum("c")
			want := n >= 0 && sum(name)+n <= int64(shares[name]*total) && all+n <= total
			if got := u.TryReserve(n); got != want {
				t.Fatalf("reserve %d of %s: %t, want %t", n, name, got, want)
			}
			if want {
				held[name] = append(held[name], n)
			}
			if u.Reserved() != sum(name) || b.Reserved() > total {
				t.Fatalf("%s has %d reserved, want %d; %d in all", name, u.Reserved(), sum(name), b.Reserved())
			}
		}
		for _, name := range names {
			for _, n := range held[name] {
				b.Use(name, 0).Release(n)
			}
		}
		if b.Reserved() != 0 {
			t.Fatalf("%d bytes are reserved at the end", b.Reserved())
		}
	})
}

// TestHugeReservationsAreRefused guards against a size from a client that overflows the sum and is
// reserved.
func TestHugeReservationsAreRefused(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	assert.Assert(t, u.TryReserve(50))
	for _, n := range []int64{1<<63 - 1, 51, -1} {
		assert.Assert(t, !u.TryReserve(n), "%d", n)
		assert.ErrorIs(t, u.Reserve(t.Context(), max(n, 101)), ErrNoRoom)
	}
}

// TestWaitingCallersAreWoken guards against a caller that waits on although there is room.
func TestWaitingCallersAreWoken(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	assert.Assert(t, u.TryReserve(100))
	var done sync.WaitGroup
	for range 10 {
		done.Go(func() { assert.Check(t, u.Reserve(t.Context(), 10) == nil) })
	}
	time.Sleep(10 * time.Millisecond)
	u.Release(40)
	u.Release(60)
	done.Wait()
	assert.Equal(t, u.Reserved(), int64(100))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, u.Reserve(ctx, 1), context.Canceled)
}

// victims begins holds of the sizes; those that are given up release their memory, as the server does.
func victims(t *testing.T, u *Use, sizes ...int64) (holds []*Hold, givenUp func() []bool) {
	t.Helper()
	for _, size := range sizes {
		var h *Hold
		h = u.Begin(func() { go h.Release() })
		assert.NilError(t, h.Grow(t.Context(), size))
		holds = append(holds, h)
	}
	return holds, func() (out []bool) {
		for _, h := range holds {
			out = append(out, h.GivenUp())
		}
		return out
	}
}

func age(h *Hold, by time.Duration) {
	h.use.budget.mu.Lock()
	defer h.use.budget.mu.Unlock()
	h.progress = h.progress.Add(-by)
}

// TestStalledRequestsAreGivenUpFirst guards against an ordinary request that is refused, or a large one
// that arrives, while clients that send nothing hold the memory.
func TestStalledRequestsAreGivenUpFirst(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	holds, givenUp := victims(t, u, 60, 30, 10)
	age(holds[1], stallTime)
	small := u.Begin(func() {})
	assert.NilError(t, small.Grow(t.Context(), 5))
	assert.DeepEqual(t, givenUp(), []bool{false, true, false})
}

// TestLargestRequestIsGivenUp guards against small requests that are refused beside large ones that keep
// sending.
func TestLargestRequestIsGivenUp(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	_, givenUp := victims(t, u, 30, 60, 10)
	small := u.Begin(func() {})
	assert.NilError(t, small.Grow(t.Context(), 5))
	assert.DeepEqual(t, givenUp(), []bool{false, true, false})
}

// TestLargestRequestIsRefusedItself guards against a request that is served at the cost of smaller ones.
func TestLargestRequestIsRefusedItself(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	_, givenUp := victims(t, u, 50, 50)
	large := u.Begin(func() {})
	assert.ErrorIs(t, large.Grow(t.Context(), 80), ErrNoRoom)
	assert.DeepEqual(t, givenUp(), []bool{false, false})
}

// TestReceivedRequestsAreNotGivenUp guards against a request that is served and interrupted for another
// one.
func TestReceivedRequestsAreNotGivenUp(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	holds, givenUp := victims(t, u, 100)
	assert.Assert(t, holds[0].Finish())
	age(holds[0], time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 5*evictionDelay)
	defer cancel()
	small := u.Begin(func() {})
	assert.ErrorIs(t, small.Grow(ctx, 5), ErrNoRoom)
	assert.DeepEqual(t, givenUp(), []bool{false})
	assert.Assert(t, !holds[0].tryGiveUp())
}

// TestManyRequestsEndAndReturnTheirMemory guards against requests that wait for each other without end,
// and memory that isn't returned when requests are given up at any point.
func TestManyRequestsEndAndReturnTheirMemory(t *testing.T) {
	b := newBudget(1 << 20)
	u := Bodies(b)
	var done sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := range 60 {
		done.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h := u.Begin(cancel)
			defer h.Release()
			reader := BodyReader{Hold: h, Length: -1, Limit: 1 << 20}
			size := 1000
			if n%2 == 0 {
				size = 300 << 10
				reader.Length = int64(size)
			}
			body, err := reader.ReadAll(ctx, strings.NewReader(strings.Repeat("x", size)))
			if err != nil {
				assert.Check(t, errors.Is(err, ErrNoRoom), "%v", err)
				return
			}
			assert.Check(t, len(body) == size)
			h.Finish()
			mu.Lock()
			defer mu.Unlock()
			served++
		})
	}
	done.Wait()
	assert.Equal(t, b.Reserved(), int64(0))
	assert.Assert(t, served >= 30, "%d", served)
}

// TestBodiesAreReadAsSent guards against bodies that are changed, cut off or accepted in part, and against
// buffers that are far larger than what was received.
func TestBodiesAreReadAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 4095, 4096, 4097, 12288, 65536, 300000, 1 << 20}).Draw(t, "size")
		limit := rapid.SampledFrom([]int64{1, 4096, 300000, 1 << 20}).Draw(t, "limit")
		cut := rapid.Bool().Draw(t, "cut")
		stated := rapid.Bool().Draw(t, "stated")
		u := newBudget(8<<20).Use("bodies", 1)
		h := u.Begin(func() {})
		text := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		var from io.Reader = bytes.NewReader(text)
		if cut {
			from = io.MultiReader(from, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		if rapid.Bool().Draw(t, "with the end") {
			from = iotest.DataErrReader(from)
		}
		r := BodyReader{Hold: h, Length: -1, Limit: limit}
		if stated {
			r.Length = int64(size)
			if int64(size) > limit {
				return // refused before it is read
			}
		}
		body, err := r.ReadAll(context.Background(), from)
		switch {
		case int64(size) > limit:
			if !errors.Is(err, ErrTooLarge) && !cut {
				t.Fatalf("body of %d bytes, limit %d: %v", size, limit, err)
			}
		case cut:
			if err == nil {
				t.Fatal("a body that was cut off is complete")
			}
		case err != nil || !bytes.Equal(body, text):
			t.Fatalf("%d of %d bytes, %v", len(body), size, err)
		}
		if reserved := u.Reserved(); reserved > int64(2*size+maxChunkBytes) {
			t.Fatalf("%d bytes are reserved for %d", reserved, size)
		}
		h.Release()
		if u.Reserved() != 0 {
			t.Fatalf("%d bytes are reserved at the end", u.Reserved())
		}
	})
}

// TestStalledBodyTakesWhatWasReceived guards against a client that states a large length, sends little and
// takes the memory of the whole body.
func TestStalledBodyTakesWhatWasReceived(t *testing.T) {
	u := newBudget(8<<20).Use("bodies", 1)
	r, w := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader := BodyReader{Hold: u.Begin(func() {}), Length: 4 << 20, Limit: 4 << 20}
		_, err := reader.ReadAll(t.Context(), r)
		assert.Check(t, err != nil)
	}()
	_, err := w.Write(make([]byte, 10<<10))
	assert.NilError(t, err)
	assert.Assert(t, u.Reserved() <= 2*(10<<10)+maxChunkBytes, "%d", u.Reserved())
	_ = w.CloseWithError(errors.New("left"))
	<-done
}

// TestDefaultTotalWithoutSysinfo guards against a process that doesn't start, or has no limit, if the
// memory of the machine can't be read.
func TestDefaultTotalWithoutSysinfo(t *testing.T) {
	original := sysinfo
	defer func() { sysinfo = original }()
	sysinfo = func(*syscall.Sysinfo_t) error { return syscall.ENOSYS }
	total, known := DefaultTotal()
	assert.Equal(t, total, int64(36e6))
	assert.Assert(t, !known)
	sysinfo = func(info *syscall.Sysinfo_t) error {
		info.Totalram, info.Unit = 100, 1<<20
		return nil
	}
	total, known = DefaultTotal()
	assert.Equal(t, total, int64(25<<20))
	assert.Assert(t, known)
}

// TestReleasedHoldsDoNotGrow guards against memory that is reserved by a read which ends after its
// connection was closed, and never returned.
func TestReleasedHoldsDoNotGrow(t *testing.T) {
	u := newBudget(100).Use("a", 1)
	h := u.Begin(func() {})
	assert.NilError(t, h.Grow(t.Context(), 10))
	h.Release()
	assert.ErrorIs(t, h.Grow(t.Context(), 10), ErrNoRoom)
	h.Shrink(5)
	assert.Equal(t, u.Reserved(), int64(0))
}
