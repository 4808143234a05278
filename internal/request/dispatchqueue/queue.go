// Package dispatchqueue decides in which order streams get engines while no engine has room. It is for
// load above the capacity of the engines, of requests that differ in priority, size, deadline and team,
// at many entry VMs at once. It uses no network, and no clock other than the time that is passed to it.
//
// Streams whose response has begun come first, then priorities in their order. Within a priority, streams
// that can still meet their latency objective precede those that can't, and among these the one that must
// start first is first. Teams whose streams must start within the same span of time take turns.
//
// Each priority that waits keeps a share of the room, and a stream that others have passed often because
// of its size is dispatched without room. Both bound the wait under load that does not end.
//
// Entry VMs share how many streams wait. While other VMs have waiting streams of a higher priority, a VM
// leaves room to them for a short time. Room that became free at a VM's own run is its own; of other room, a VM
// takes as much as its part of the streams that wait at all VMs, so that not all of them send a stream to
// the one engine that became free.
package dispatchqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// turnWindow is the span of latest starts within which teams take turns. It is short against
	// latency objectives of seconds, and long enough for several streams of a busy VM.
	turnWindow = 500 * time.Millisecond
	// servedLifetime is the time for which an earlier dispatch of a team counts for its turns.
	servedLifetime = 5 * time.Second
	// minShare is the share of the dispatches that each priority gets at least while it waits.
	minShare = 1.0 / 20
	// maxPassed is the number of streams behind a stream that may be dispatched before it because they
	// find room and it does not. One in maxPassed dispatches beyond the room is less than the error of
	// the estimates of room.
	maxPassed = 16
	// maxStall is the time for which streams wait while no engine becomes free, before the first of them is
	// sent nevertheless. Runs last some seconds, so with more than a few engines some run ends within it,
	// unless the estimates of room are wrong. minStall is for streams that must start soon: two exchanges of loads between VMs.
	maxStall = 1500 * time.Millisecond
	minStall = 250 * time.Millisecond
	// stallStep is the time between the first two streams that are sent beyond the room because no engine
	// becomes free. It halves with each further one: the first ones show whether engines have room, and
	// if nothing becomes free, all streams have been sent after twice this time.
	stallStep = 250 * time.Millisecond
	// maxBegunWait is how long a stream whose response has begun waits for room: callers consider gaps
	// of more than some 700 ms late, of which the loss of the engine has taken a part.
	maxBegunWait = 150 * time.Millisecond
	// minHold and maxHold bound how long room that is seen all the time is left to other VMs. They learn of it,
	// and this VM of their use of it, within 100 to 200 ms. The time is random between them, so that VMs
	// don't end to wait at the same time.
	minHold = 250 * time.Millisecond
	maxHold = time.Second
	// maxContest is the same bound for room that streams of other VMs want as well that don't precede this
	// VM's. What Offer allows ends the wait earlier unless other VMs have far more waiting streams.
	maxContest = 1500 * time.Millisecond
	// contestLifetime is the time for which demand that was not replaced, because the leader is lost, still
	// shows that other VMs want the same room. An election takes up to a second.
	contestLifetime = 3 * time.Second
	// OfferInterval is the time between two calls of Offer: that until all VMs know of the use of room.
	OfferInterval = 200 * time.Millisecond
	// remoteLifetime is the time after which the demand of other VMs counts as none. The leader relies
	// on what VMs share for as long, so demand is used for at most twice this time, 1 s.
	remoteLifetime = 500 * time.Millisecond
	// MaxEntries bounds the streams that wait for one service, and the cost of a decision. A VM that
	// has 60 times as many streams as engines take from it in a second refuses most of them.
	MaxEntries = 512
)

// Entry is a stream that waits for an engine. Its fields must not change while it waits.
type Entry struct {
	Service, Team string
	// Priority is 0 for the highest.
	Priority int
	// Begun: the caller has received a part of the response.
	Begun bool
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Objective is when the first event is due, Deadline when the caller stops to wait.
	Objective, Deadline time.Time
	// Work is the expected time from the dispatch to the first event.
	Work time.Duration

	joinedAt time.Time
	sequence uint64
	// passed counts the dispatches of streams behind this one.
	passed int
	// beyondRoom: the entry was dispatched although no engine has room.
	beyondRoom bool
	waits      bool
}

// BeyondRoom reports whether Next has returned the entry although no engine has room for it.
func (e *Entry) BeyondRoom() bool { return e.beyondRoom }

// latestStart is the latest time of a dispatch with which the stream meets its latency objective.
func (e *Entry) latestStart() time.Time { return e.Objective.Add(-e.Work) }

func (e *Entry) isLate(now time.Time) bool { return now.After(e.latestStart()) }

// isExpired reports whether the stream can't begin before its deadline.
func (e *Entry) isExpired(now time.Time) bool {
	return !e.Begun && !now.Add(e.Work).Before(e.Deadline)
}

// patience is how long the entry waits while no engine becomes free: half of the time that was left to its
// latency objective, within minStall and maxStall. A stream that was late already has nothing to lose by waiting.
func (e *Entry) patience() time.Duration {
	if e.isLate(e.joinedAt) {
		return maxStall
	}
	return min(max(e.latestStart().Sub(e.joinedAt)/2, minStall), maxStall)
}

// Demand is the number of streams of one priority that wait for a service.
type Demand struct {
	Service      string
	Priority     int
	Requests     int
	PromptTokens int
}

// Queue holds the streams that wait at one entry VM. It is not safe for concurrent use.
type Queue struct {
	services map[string]*serviceQueue
	sequence uint64
	// remote is the number of streams at other VMs by service and priority, received at remoteAt.
	remote   map[string]map[int]int
	remoteAt time.Time
	random   func() float64
}

// New returns an empty queue. random returns numbers from 0 up to 1.
func New(random func() float64) *Queue {
	return &Queue{services: map[string]*serviceQueue{}, random: random}
}

// serviceQueue holds the streams that wait for one service.
type serviceQueue struct {
	entries []*Entry
	// credits are the dispatches owed to priorities that wait behind others.
	credits map[int]float64
	teams   map[string]*decayed
	// roomAt is when an engine last became free, when a stream last found room, or when the queue became
	// longer than 0.
	roomAt time.Time
	// stalledAt is when the last stream was sent beyond the room because no engine became free, step the time
	// to the next one; zero if an engine became free since.
	stalledAt time.Time
	step      time.Duration
	// heldSince is since when room has been left to other VMs, zero while none is, and holdTime for how long
	// it is.
	heldSince time.Time
	holdTime  time.Duration
	// allowance is the number of streams for which this VM may take room that other VMs want as well.
	allowance int
	// surplus is the number of engines with room beyond what streams of higher priorities at other VMs can use.
	surplus int
	rates   rates
}

// Join adds a stream. If the queue is full, it returns a stream that no longer waits, which may be e: the last
// one of the priority of which most wait.
func (q *Queue) Join(e *Entry, now time.Time) (excess *Entry) {
	s := q.services[e.Service]
	if s == nil {
		s = &serviceQueue{credits: map[int]float64{}, teams: map[string]*decayed{}}
		q.services[e.Service] = s
	}
	if len(s.entries) == 0 {
		s.foundRoom(now)
		s.heldSince, s.allowance, s.surplus = time.Time{}, 0, 0
		s.rates.begin(now)
	}
	q.sequence++
	e.joinedAt, e.sequence, e.passed, e.beyondRoom, e.waits = now, q.sequence, 0, false, true
	s.entries = append(s.entries, e)
	s.rates.joined(e, now)
	if len(s.entries) <= MaxEntries {
		return nil
	}
	if excess = s.excess(now); excess != nil {
		s.remove(excess)
	}
	return excess
}

// excess returns the stream that a full queue refuses, or nil if all have begun: those are never refused, and
// their number is that of the open streams. A priority of which few wait keeps its place, so that it gets its
// share.
func (s *serviceQueue) excess(now time.Time) *Entry {
	count := map[int]int{}
	for _, e := range s.entries {
		if !e.Begun {
			count[e.Priority]++
		}
	}
	var excess *Entry
	for _, e := range s.entries {
		switch {
		case e.Begun:
		case excess == nil || count[e.Priority] > count[excess.Priority]:
			excess = e
		case count[e.Priority] == count[excess.Priority] && s.rank(e, now).compare(s.rank(excess, now)) > 0:
			excess = e
		}
	}
	return excess
}

// RoomFreed records that an engine of some service has become free, even if a stream of another VM takes it. here
// is the number of runs and prompts of this VM that have ended.
func (q *Queue) RoomFreed(here int, now time.Time) {
	for _, s := range q.services {
		s.foundRoom(now)
		s.allowance = min(s.allowance+here, len(s.entries))
	}
}

// Offer states how many engines of a service have room, when a stream joins an empty queue and then every OfferInterval.
// The VM may take what streams of higher priorities at other VMs leave, and of that a part that is its part of the waiting
// streams.
func (q *Queue) Offer(service string, engines int, now time.Time) {
	s := q.services[service]
	if s == nil || !q.SharesRoom(now) {
		return
	}
	own, first := 0, math.MaxInt
	for _, e := range s.entries {
		switch {
		case e.isLate(now) && !e.Begun || e.Priority > first:
		case e.Priority < first:
			own, first = 1, e.Priority
		default:
			own++
		}
	}
	higher, same := 0, 0
	for priority, n := range q.remote[service] {
		if priority < first {
			higher += n
		} else if priority == first {
			same += n
		}
	}
	s.surplus = max(engines-higher, 0)
	share := float64(s.surplus*own) / float64(max(own+same, 1))
	if share > 0 && q.HasRemoteDemand(now) {
		share += q.random() // without a leader, VMs don't learn that others have taken the same room
	}
	s.allowance = int(share)
}

// Leave removes a stream. It has no effect on a stream that doesn't wait.
func (q *Queue) Leave(e *Entry) {
	if s := q.services[e.Service]; s != nil && e.waits {
		s.remove(e)
	}
}

// Len returns the number of streams that wait.
func (q *Queue) Len() int {
	n := 0
	for _, s := range q.services {
		n += len(s.entries)
	}
	return n
}

// MustWait reports whether a stream that finds room must join the queue nevertheless: others wait, or
// the room is left to other VMs.
func (q *Queue) MustWait(e *Entry, now time.Time) bool {
	s := q.services[e.Service]
	if s != nil && len(s.entries) > 0 {
		return true
	}
	return q.yields(e, now) && !e.Begun || q.isContested(e, now)
}

// Next removes and returns the first stream that may be dispatched now, or nil if there is none. room reports
// whether an engine has room for a stream.
func (q *Queue) Next(now time.Time, room func(*Entry) bool) *Entry {
	for _, s := range q.services {
		if len(s.entries) == 0 {
			continue
		}
		if e := q.next(s, now, room); e != nil {
			return e
		}
	}
	return nil
}

func (q *Queue) next(s *serviceQueue, now time.Time, room func(*Entry) bool) *Entry {
	order := s.order(now)
	held, beyond := false, (*Entry)(nil)
	for i, e := range order {
		if e.isExpired(now) {
			continue
		}
		if !room(e) {
			if beyond == nil && s.goesBeyondRoom(e, now) {
				beyond = e
			}
			continue
		}
		s.foundRoom(now)
		limit := time.Duration(0)
		if q.isHeld(s, e, now) {
			limit = maxHold
		} else if s.allowance < 1 && q.isContested(e, now) {
			limit = maxContest
		}
		if limit > 0 {
			held = true
			if s.heldSince.IsZero() {
				s.heldSince, s.holdTime = now, q.holdTime(limit)
			}
			if now.Sub(s.heldSince) < min(s.holdTime, limit) {
				continue
			}
			s.heldSince, s.holdTime = now, q.holdTime(limit)
		} else {
			s.allowance = max(s.allowance-1, 0)
		}
		s.surplus = max(s.surplus-1, 0)
		for _, passed := range order[:i] {
			passed.passed++
		}
		s.dispatched(e, now)
		return e
	}
	if !held {
		s.heldSince = time.Time{}
	}
	if beyond != nil {
		if s.isStalled(beyond, now) {
			s.stalledAt = now
			if s.step == 0 {
				s.step = 2 * stallStep
			}
			s.step /= 2
		}
		beyond.beyondRoom = true
		s.dispatched(beyond, now)
	}
	return beyond
}

// foundRoom records that an engine became free or has room.
func (s *serviceQueue) foundRoom(now time.Time) {
	s.roomAt, s.stalledAt, s.step = now, time.Time{}, 0
}

// goesBeyondRoom reports whether a stream for which no engine has room is dispatched nevertheless.
func (s *serviceQueue) goesBeyondRoom(e *Entry, now time.Time) bool {
	if e.passed >= maxPassed || e.Begun && now.Sub(e.joinedAt) >= maxBegunWait {
		return true
	}
	return s.isStalled(e, now) && now.Sub(s.stalledAt) >= s.step
}

// isStalled reports whether a stream has waited long enough while no engine became free.
func (s *serviceQueue) isStalled(e *Entry, now time.Time) bool {
	patience := e.patience()
	return now.Sub(s.roomAt) >= patience && now.Sub(e.joinedAt) >= patience
}

// isHeld reports whether room for a stream is left to streams at other VMs.
func (q *Queue) isHeld(s *serviceQueue, e *Entry, now time.Time) bool {
	return !e.Begun && s.surplus < 1 && s.credits[e.Priority] < 1 && q.yields(e, now)
}

// holdTime returns a random time for which room is left to other VMs.
func (q *Queue) holdTime(limit time.Duration) time.Duration {
	return minHold + time.Duration(q.random()*float64(limit-minHold))
}

// isContested reports whether streams that don't come after e wait at other VMs, or may wait there since the leader is
// lost.
func (q *Queue) isContested(e *Entry, now time.Time) bool {
	if e.Begun || !q.SharesRoom(now) {
		return false
	}
	for priority := range q.remote[e.Service] {
		if priority <= e.Priority || !q.HasRemoteDemand(now) {
			return true
		}
	}
	return false
}

// yields reports whether streams that precede e wait at other VMs: those of a higher priority, and if e is late,
// those of its own, as demand counts no late ones.
func (q *Queue) yields(e *Entry, now time.Time) bool {
	if now.Sub(q.remoteAt) >= remoteLifetime {
		return false
	}
	late := e.isLate(now)
	for priority := range q.remote[e.Service] {
		if priority < e.Priority || late && priority == e.Priority {
			return true
		}
	}
	return false
}

// dispatched removes a stream that gets an engine and counts it.
func (s *serviceQueue) dispatched(e *Entry, now time.Time) {
	s.remove(e)
	s.rates.dispatched.add(1, now, rateLifetime)
	if e.Begun {
		return
	}
	s.teamServed(e.Team).add(1, now, servedLifetime)
	s.removeIdleTeams(now)
	if s.credits[e.Priority] >= 1 {
		s.credits[e.Priority]--
	}
	behind := map[int]bool{}
	for _, other := range s.entries {
		if !other.Begun && other.Priority > e.Priority {
			behind[other.Priority] = true
		}
	}
	for priority := range behind {
		s.credits[priority] = min(s.credits[priority]+minShare, 1)
	}
}

func (s *serviceQueue) remove(e *Entry) {
	if i := slices.Index(s.entries, e); i >= 0 {
		s.entries = slices.Delete(s.entries, i, i+1)
	}
	e.waits = false
}

// rank is the place of a stream in the order at one time.
type rank struct {
	*Entry
	owed, late bool
	// start is the latest start in nanoseconds, window the number of its turnWindow.
	start, window int64
	// served counts the recent dispatches of the team.
	served float64
}

func (s *serviceQueue) rank(e *Entry, now time.Time) rank {
	start := e.latestStart().UnixNano()
	return rank{
		Entry: e, owed: s.credits[e.Priority] >= 1, late: e.isLate(now), start: start, window: start / int64(turnWindow),
		served: s.teams[e.Team].value(now, servedLifetime),
	}
}

// order returns the streams in the order of their dispatch.
func (s *serviceQueue) order(now time.Time) []*Entry {
	ranks := make([]rank, len(s.entries))
	for i, e := range s.entries {
		ranks[i] = s.rank(e, now)
	}
	slices.SortFunc(ranks, rank.compare)
	order := make([]*Entry, len(ranks))
	for i, r := range ranks {
		order[i] = r.Entry
	}
	return order
}

// compare returns a negative number if r precedes other.
func (r rank) compare(other rank) int {
	switch {
	case r.Begun != other.Begun:
		return firstIf(r.Begun)
	case r.Begun:
		return cmp.Compare(r.sequence, other.sequence)
	case r.Priority != other.Priority && r.owed != other.owed:
		return firstIf(r.owed)
	case r.Priority != other.Priority:
		return cmp.Compare(r.Priority, other.Priority)
	case r.late != other.late:
		return firstIf(other.late)
	}
	if r.window != other.window {
		return cmp.Compare(r.window, other.window)
	}
	if r.Team != other.Team && r.served != other.served {
		return cmp.Compare(r.served, other.served)
	}
	return cmp.Or(cmp.Compare(r.start, other.start), cmp.Compare(r.sequence, other.sequence))
}

func firstIf(a bool) int {
	if a {
		return -1
	}
	return 1
}

func (s *serviceQueue) teamServed(team string) *decayed {
	d := s.teams[team]
	if d == nil {
		d = &decayed{}
		s.teams[team] = d
	}
	return d
}

// removeIdleTeams bounds the number of teams that are kept.
func (s *serviceQueue) removeIdleTeams(now time.Time) {
	if len(s.teams) <= MaxEntries {
		return
	}
	for team, d := range s.teams {
		if now.Sub(d.at) > servedLifetime {
			delete(s.teams, team)
		}
	}
}
