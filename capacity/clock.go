package capacity

import (
	"container/heap"
	"runtime"
	"syscall"
	"time"
)

// simStart is the start time of all simulations.
var simStart = time.Unix(1_800_000_000, 0)

// eventQueue runs scheduled functions in order of simulated time. Functions with
// the same time run in the order in which they were scheduled.
type eventQueue struct {
	now   time.Time
	seq   uint64
	tasks taskHeap
}

type task struct {
	at  time.Time
	seq uint64
	run func()
}

type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules run at now + d.
func (q *eventQueue) after(d time.Duration, run func()) {
	q.seq++
	heap.Push(&q.tasks, task{at: q.now.Add(max(0, d)), seq: q.seq, run: run})
}

// every runs f now and then once per period.
func (q *eventQueue) every(period time.Duration, f func()) {
	f()
	q.after(period, func() { q.every(period, f) })
}

// runFor advances the simulated time by d and runs the functions that are due.
func (q *eventQueue) runFor(d time.Duration) {
	end := q.now.Add(d)
	for len(q.tasks) > 0 && !q.tasks[0].at.After(end) {
		next := heap.Pop(&q.tasks).(task)
		q.now = next.at
		next.run()
	}
	q.now = end
}

// cpuTime returns the processor time that this process has used. Unlike wall clock
// time, it does not depend on the load of other processes.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerCall returns the mean processor time of a call of f in seconds, including
// garbage collection. It repeats f for at least the given processor time.
func cpuPerCall(atLeast time.Duration, f func()) float64 {
	f()
	runtime.GC()
	start := cpuTime()
	calls := 0
	for cpuTime()-start < atLeast {
		f()
		calls++
	}
	return (cpuTime() - start).Seconds() / float64(calls)
}

// heapGrowth returns the number of heap bytes that the value returned by build
// retains.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
