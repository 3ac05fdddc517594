package calls

import "github.com/citroncross/citroncross/citron"

// bufferedAnswer buffers an answer until it is complete or larger than limit. Until it is committed, the attempt can be
// retried.
type bufferedAnswer struct {
	out         citron.AnswerWriter
	limit       int64
	status      int
	contentType string
	body        []byte
	committed   bool
}

var _ citron.AnswerWriter = (*bufferedAnswer)(nil)

// newBufferedAnswer returns a writer that buffers up to limit bytes before it writes to out.
func newBufferedAnswer(out citron.AnswerWriter, limit int64) *bufferedAnswer {
	return &bufferedAnswer{out: out, limit: limit}
}

// WriteHead buffers the status and content type.
func (b *bufferedAnswer) WriteHead(status int, contentType string) error {
	b.status, b.contentType = status, contentType
	return nil
}

// WriteChunk buffers a part of the body, or passes it through once the limit is exceeded.
func (b *bufferedAnswer) WriteChunk(p []byte) error {
	if b.committed {
		return b.out.WriteChunk(p)
	}
	b.body = append(b.body, p...)
	if int64(len(b.body)) <= b.limit {
		return nil
	}
	return b.commit()
}

// flush writes what is still buffered.
func (b *bufferedAnswer) flush() error {
	if b.committed {
		return nil
	}
	return b.commit()
}

// commit writes the head and the buffered body; afterwards the attempt cannot be retried.
func (b *bufferedAnswer) commit() error {
	b.committed = true
	if err := b.out.WriteHead(b.status, b.contentType); err != nil {
		return err
	}
	body := b.body
	b.body = nil
	if len(body) == 0 {
		return nil
	}
	return b.out.WriteChunk(body)
}
