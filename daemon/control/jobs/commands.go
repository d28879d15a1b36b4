package jobs

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibispier/ibispier/consensus"
	"github.com/ibispier/ibispier/daemon/control/replica"
	"github.com/ibispier/ibispier/job"
)

const (
	// proposalTimeout is how long a command waits for its entry to be applied before
	// further commands are proposed in its place.
	proposalTimeout = 2 * time.Second
	// maxOverdue bounds the commands whose entry is overdue. A leader without a quorum
	// steps down before it reaches the bound; one whose replica has dropped commands
	// probes.
	maxOverdue = 8
	// maxInFlight is the number of commands that may be in flight. Requests
	// that arrive meanwhile share the next command, so that the number of
	// entries depends on the speed of the disks and not on the number of
	// requests.
	maxInFlight = 2
)

// batch is a command that is being assembled or waits for its entry.
type batch struct {
	command  job.Command
	encoded  []byte // of the command, once it is proposed
	parts    []part
	proposed time.Time
	deadline time.Time
}

// part is what one request or decision adds to a command.
type part struct {
	add       func(*job.Command)
	onApplied func(now time.Time) // may be nil
	onUnknown func()              // may be nil
}

func newBatch(parts []part) batch {
	b := batch{parts: parts}
	for _, p := range parts {
		p.add(&b.command)
	}
	return b
}

// addPart adds a part to the next command. onApplied is called once it is
// applied, onUnknown when it is not going to be applied in this leadership. Both
// may be nil.
func (e *engine) addPart(add func(*job.Command), onApplied func(time.Time), onUnknown func()) {
	add(&e.batch.command)
	e.batch.parts = append(e.batch.parts, part{add, onApplied, onUnknown})
}

// propose submits the collected parts to the replica as one command, unless
// maxInFlight commands are in flight. Parts that do not fit into one command remain
// for the next one.
func (e *engine) propose(now time.Time) {
	if len(e.batch.parts) == 0 || len(e.inFlight) >= maxInFlight {
		return
	}
	if len(e.overdue) >= maxOverdue {
		e.probe(now)
		return
	}
	e.sequence++
	b, rest, data, err := fitBatch(e.batch, e.origin, e.sequence)
	e.batch = rest
	b.proposed, b.deadline = now, now.Add(proposalTimeout)
	b.encoded = data
	if err == nil && e.leader != nil && !e.status.ReadOnly {
		err = e.offerInput(replica.Input{Propose: data})
	} else if err == nil {
		err = consensus.ErrNotLeader
	}
	if err != nil {
		e.log.Warn("proposal refused", zap.Int("parts", len(b.parts)), zap.Error(err))
		b.failAll()
		return
	}
	e.inFlight[e.sequence] = &b
}

// probe proposes an empty command in place of the batch, which waits. Once it is applied,
// the overdue commands are known to be lost.
func (e *engine) probe(now time.Time) {
	if e.leader == nil || e.status.ReadOnly || now.Before(e.nextProbe) {
		return
	}
	e.nextProbe = now.Add(proposalTimeout)
	e.sequence++
	data, _, err := encodeCommand(&job.Command{Origin: e.origin, Sequence: e.sequence})
	if err == nil {
		err = e.offerInput(replica.Input{Propose: data})
	}
	if err != nil {
		e.log.Warn("probe refused", zap.Error(err))
	}
}

// fitBatch splits a batch whose command is larger than the replica takes, or than the
// members should decode at a time. It returns the first batch, its encoded command, and
// the rest.
func fitBatch(b batch, origin, sequence uint64) (first, rest batch, data []byte, err error) {
	for {
		b.command.Origin, b.command.Sequence = origin, sequence
		var size int
		data, size, err = encodeCommand(&b.command)
		single := len(b.parts) == 1
		switch {
		case err != nil, len(data) <= replica.MaxCommandBytes && (size <= splitAbove || single && size <= maxDecodedBytes):
			return b, rest, data, err
		case single:
			return b, rest, nil, Error.New("step=propose bytes=%d decompressed=%d: command is too large", len(data), size)
		}
		half := len(b.parts) / 2
		rest = newBatch(append(slices.Clone(b.parts[half:]), rest.parts...))
		b = newBatch(b.parts[:half:half])
	}
}

func (b *batch) failAll() {
	for _, p := range b.parts {
		if p.onUnknown != nil {
			p.onUnknown()
		}
	}
}

// settle ends the wait for the batch with the sequence and returns it, or nil if it
// is not in flight. Entries of one leadership are in the order of their proposal, so
// batches before it will not be applied.
func (e *engine) settle(sequence uint64) *batch {
	b := cmp.Or(e.inFlight[sequence], e.overdue[sequence])
	for _, waiting := range []map[uint64]*batch{e.overdue, e.inFlight} {
		for s, earlier := range waiting {
			if s < sequence {
				delete(waiting, s)
				e.log.Warn("command not applied", zap.Uint64("sequence", s), zap.Int("parts", len(earlier.parts)))
				earlier.failAll()
			}
		}
		delete(waiting, sequence)
	}
	return b
}

// expireCommands stops waiting for commands whose entry is overdue. It may still be
// committed, so their starts and ends stay pending until a later command is applied
// or the leadership ends. With nothing else to propose, an empty command decides.
func (e *engine) expireCommands(now time.Time) {
	for sequence, b := range e.inFlight {
		if !b.deadline.After(now) {
			delete(e.inFlight, sequence)
			e.overdue[sequence] = b
			e.log.Warn("command overdue", zap.Uint64("sequence", sequence), zap.Int("parts", len(b.parts)))
		}
	}
	if len(e.overdue) > 0 && len(e.batch.parts) == 0 && len(e.inFlight) == 0 {
		e.addPart(func(*job.Command) {}, nil, nil)
	}
}
