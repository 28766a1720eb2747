// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

// The constants below estimate the bytes of one item in msgpack, with its field names and with strings of about ten bytes. A test
// compares the estimates with the encoded messages.
const (
	// envelopeSize covers an envelope with the fields of fixed size of its message.
	envelopeSize = 512
	// instanceSize covers an Instance, heldPoolSize a HeldPool, nameOverhead the bytes of a name in a list besides its characters,
	// poolSummarySize a PoolSummary without its names, and ticketUseSize a TicketUse.
	instanceSize    = 64
	heldPoolSize    = 32
	nameOverhead    = 2
	poolSummarySize = 96
	ticketUseSize   = 640
)

// Size estimates the bytes that the envelope takes in a queue or in transit. The fields that can grow large count by their length.
func (e Envelope) Size() int {
	size := envelopeSize
	switch {
	case e.Records != nil:
		size += e.Records.Size()
	case e.Heartbeat != nil:
		h := e.Heartbeat
		size += instanceSize*len(h.Known) + heldPoolSize*len(h.HeldPools) + summariesSize(h.Pools) + namesSize(h.WantedSummaries)
	case e.Digest != nil:
		d := e.Digest
		size += instanceSize*len(d.Instances) + (heldPoolSize+instanceSize)*len(d.Placers) + summariesSize(d.Pools) + namesSize(d.WantedSummaries)
	case e.Returned != nil:
		size += namesSize(e.Returned.Tickets)
	case e.TicketReport != nil:
		size += ticketUseSize * len(e.TicketReport.Uses)
	case e.Release != nil:
		size += ticketUseSize * len(e.Release.Uses)
	}
	return size
}

// Size returns the number of bytes of the snapshot and the records.
func (r *Records) Size() int {
	size := len(r.Snapshot)
	for _, record := range r.Records {
		size += len(record)
	}
	return size
}

func summariesSize(summaries []PoolSummary) int {
	size := 0
	for _, s := range summaries {
		size += poolSummarySize + namesSize(s.Added) + namesSize(s.Removed)
	}
	return size
}

func namesSize(names []string) int {
	size := 0
	for _, name := range names {
		size += nameOverhead + len(name)
	}
	return size
}
