package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	shortCost   = 5 * time.Millisecond
	longCost    = 500 * time.Millisecond
	farDeadline = time.Minute
)

// newTrainedQueue returns an empty queue whose usual cost is shortCost.
func newTrainedQueue(slots int) *Queue {
	queue := New(slots)
	queue.Push(1, 1, "r", 1, true, shortCost, true, 0, farDeadline)
	ticket, _ := queue.Pop()
	queue.Done(ticket, shortCost)
	return queue
}

func pop(t *testing.T, queue *Queue) uint64 {
	ticket, found := queue.Pop()
	require.True(t, found)
	return ticket
}

func TestShortGoesBeforeLongAndPaidBeforeBrowsing(t *testing.T) {
	queue := newTrainedQueue(1)
	queue.Push(10, 1, "r", 1, false, shortCost, true, 0, farDeadline)
	queue.Push(11, 2, "r", 1, true, longCost, true, 0, farDeadline)
	queue.Push(12, 1, "r", 1, true, shortCost, true, 0, farDeadline)
	for _, want := range []uint64{12, 11, 10} {
		got := pop(t, queue)
		require.Equal(t, want, got)
		queue.Done(got, shortCost)
	}
}

func TestLongWorkLeavesSlotsForShort(t *testing.T) {
	queue := newTrainedQueue(3)
	for ticket := range uint64(3) {
		queue.Push(10+ticket, 2, "r", 1, true, longCost, true, 0, farDeadline)
	}
	pop(t, queue)
	_, found := queue.Pop()
	require.False(t, found, "a second long statement started")
	queue.Push(20, 1, "r", 1, true, shortCost, true, 0, farDeadline)
	require.Equal(t, uint64(20), pop(t, queue))
}

// TestUnseenNeverTakesTheLastSlot pushes shapes without an estimate only.
func TestUnseenNeverTakesTheLastSlot(t *testing.T) {
	queue := newTrainedQueue(2)
	queue.Push(10, 7, "r", 1, true, 0, false, 0, farDeadline)
	queue.Push(11, 8, "r", 1, true, 0, false, 0, farDeadline)
	pop(t, queue)
	_, found := queue.Pop()
	require.False(t, found)
	queue.UpdateCost(8, shortCost)
	require.Equal(t, uint64(11), pop(t, queue))
}

func TestPushRefusesStatementsThatWouldMissTheirDeadline(t *testing.T) {
	queue := newTrainedQueue(1)
	for ticket := range uint64(10) {
		queue.Push(10+ticket, 1, "r", 1, true, shortCost, true, 0, farDeadline)
	}
	wait, accepted := queue.Push(30, 1, "r", 1, true, shortCost, true, 0, 20*time.Millisecond)
	require.False(t, accepted)
	require.GreaterOrEqual(t, wait, 40*time.Millisecond)
}

func TestEvictRemovesStatementsThatWouldMissTheirDeadline(t *testing.T) {
	queue := newTrainedQueue(1)
	queue.Push(10, 1, "r", 1, true, shortCost, true, 0, farDeadline)
	pop(t, queue)
	queue.Push(11, 1, "r", 1, true, shortCost, true, 0, 30*time.Millisecond)
	require.Empty(t, queue.Evict(10*time.Millisecond))
	require.Equal(t, []uint64{11}, queue.Evict(26*time.Millisecond))
}

// TestRoutesShareByWeight pushes equal statements of two routes.
func TestRoutesShareByWeight(t *testing.T) {
	queue := newTrainedQueue(1)
	for ticket := range uint64(40) {
		queue.Push(100+ticket, 1, "heavy", 3, true, shortCost, true, 0, farDeadline)
		queue.Push(200+ticket, 1, "light", 1, true, shortCost, true, 0, farDeadline)
	}
	heavy := 0
	for range 20 {
		ticket := pop(t, queue)
		if ticket < 200 {
			heavy++
		}
		queue.Done(ticket, shortCost)
	}
	require.InDelta(t, 15, heavy, 1)
}
