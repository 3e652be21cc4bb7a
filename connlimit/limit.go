// Package connlimit decides which connections are closed when there are too many. It performs no I/O.
package connlimit

import "sync"

// Rank says what a connection is worth. Those of the lowest rank are closed first, and of these the
// one that has had it for the longest time.
type Rank int

const (
	// Unused is the rank of connections that have brought no byte of a request.
	Unused Rank = iota
	// Receiving is the rank of connections on which a header section is read.
	Receiving
	// Stalled is the rank of connections on which a body is read that does not go on.
	Stalled
	// Idle is the rank of connections that have brought a request and await the next one.
	Idle
	// Busy is the rank of connections on which a request is under way. They are not closed.
	Busy
	// Closing is the rank of connections that are being closed.
	Closing

	rankCount
)

// Limit bounds the number of connections that are not Closing. It is safe for concurrent use.
type Limit[C any] struct {
	max int

	mutex sync.Mutex
	// ranks holds the entries of each rank, in the order in which they got it; guarded by mutex.
	ranks [rankCount]queue[C]
}

// New returns a limit without connections. Zero stands for no limit.
func New[C any](maxConnections int) *Limit[C] { return &Limit[C]{max: maxConnections} }

// queue holds entries in their order. Entries are linked without an allocation, since the rank of a
// connection changes several times with each request.
type queue[C any] struct {
	first, last *Entry[C]
	size        int
}

func (q *queue[C]) add(e *Entry[C]) {
	e.previous, e.next = q.last, nil
	if q.last == nil {
		q.first = e
	} else {
		q.last.next = e
	}
	q.last = e
	q.size++
}

func (q *queue[C]) remove(e *Entry[C]) {
	if e.previous == nil {
		q.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		q.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	q.size--
}

// Entry is a connection that counts.
type Entry[C any] struct {
	limit      *Limit[C]
	connection C
	// previous and next are the neighbours in the queue of the rank; guarded by the mutex of limit, as the
	// fields below.
	previous, next *Entry[C]
	rank           Rank
	// hasLeft is true once the connection does not count any more.
	hasLeft bool
}

// Enter counts a connection, which is Unused.
func (l *Limit[C]) Enter(connection C) *Entry[C] {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := &Entry[C]{limit: l, connection: connection, rank: Unused}
	l.ranks[Unused].add(e)
	return e
}

// SetRank changes the rank of the connection. The time with that rank begins anew.
func (e *Entry[C]) SetRank(rank Rank) {
	e.limit.mutex.Lock()
	defer e.limit.mutex.Unlock()
	e.setRank(rank)
}

// setRank changes the rank. The mutex must be held.
func (e *Entry[C]) setRank(rank Rank) {
	if e.hasLeft {
		return
	}
	e.limit.ranks[e.rank].remove(e)
	e.rank = rank
	e.limit.ranks[rank].add(e)
}

// Leave ends the counting of the connection. It may be called more than once.
func (e *Entry[C]) Leave() {
	e.limit.mutex.Lock()
	defer e.limit.mutex.Unlock()
	if !e.hasLeft {
		e.limit.ranks[e.rank].remove(e)
		e.hasLeft = true
	}
}

// IsFull reports whether no other connection may enter.
func (l *Limit[C]) IsFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isFull()
}

// isFull reports whether no other connection may enter. The mutex must be held.
func (l *Limit[C]) isFull() bool { return l.max > 0 && l.count() >= l.max }

// TakeExcess returns a connection that must be closed before another one may enter, with the rank that
// it had. It is Closing from then on. isAny is false if there is room, or if all connections are busy.
func (l *Limit[C]) TakeExcess() (connection C, rank Rank, isAny bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isFull() {
		return connection, rank, false
	}
	for rank := Unused; rank < Busy; rank++ {
		if e := l.ranks[rank].first; e != nil {
			e.setRank(Closing)
			return e.connection, rank, true
		}
	}
	return connection, rank, false
}

// Count returns the number of connections that are not Closing.
func (l *Limit[C]) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count()
}

// count returns the number of connections that are not Closing. The mutex must be held.
func (l *Limit[C]) count() int {
	count := 0
	for rank := range Closing {
		count += l.ranks[rank].size
	}
	return count
}
