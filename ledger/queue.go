package ledger

// chunkSize is the number of records in one chunk of a queue. Chunks keep the
// cost of growth constant and release memory as keys expire.
const chunkSize = 512

type chunk [chunkSize]Record

// queue is a FIFO queue of records whose positions stay valid.
type queue struct {
	chunks []*chunk
	base   uint64 // position of the first record of chunks[0]
	first  uint64 // position of the oldest record
	count  int
}

func (q *queue) len() int    { return q.count }
func (q *queue) end() uint64 { return q.first + uint64(q.count) }

func (q *queue) at(position uint64) *Record {
	offset := position - q.base
	return &q.chunks[offset/chunkSize][offset%chunkSize]
}

func (q *queue) front() *Record { return q.at(q.first) }

func (q *queue) push(r Record) uint64 {
	position := q.end()
	if position-q.base == uint64(len(q.chunks))*chunkSize {
		q.chunks = append(q.chunks, new(chunk))
	}
	*q.at(position) = r
	q.count++
	return position
}

func (q *queue) pop() {
	*q.front() = Record{}
	q.first++
	q.count--
	if q.first-q.base == chunkSize {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
		q.base += chunkSize
	}
}
