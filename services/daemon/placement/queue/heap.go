// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

// deadlineHeap orders waiters by their deadlines.
type deadlineHeap []*Waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].Request.Deadline.Before(h[j].Request.Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*Waiter)
	w.deadlineIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// holdHeap orders the patient waiters of an adapter by the time at which they must start.
type holdHeap []*Waiter

func (h holdHeap) Len() int { return len(h) }

func (h holdHeap) Less(i, j int) bool {
	return h[i].holdUntil.Before(h[j].holdUntil)
}

func (h holdHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].holdIndex, h[j].holdIndex = i, j
}

// Push implements heap.Interface.
func (h *holdHeap) Push(x any) {
	w := x.(*Waiter)
	w.holdIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *holdHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
