package calls

import "github.com/citroncross/citroncross/citron"

// buffered holds an answer back until it is whole or larger than a limit. Until then the attempt can be
// followed by another one.
type buffered struct {
	out         citron.AnswerWriter
	limit       int64
	status      int
	contentType string
	body        []byte
	committed   bool
}

var _ citron.AnswerWriter = (*buffered)(nil)

func newBuffered(out citron.AnswerWriter, limit int64) *buffered {
	return &buffered{out: out, limit: limit}
}

// WriteHead keeps what comes before the body.
func (b *buffered) WriteHead(status int, contentType string) error {
	b.status, b.contentType = status, contentType
	return nil
}

// WriteChunk keeps a part of the body, or hands it on once the limit is passed.
func (b *buffered) WriteChunk(p []byte) error {
	if b.committed {
		return b.out.WriteChunk(p)
	}
	b.body = append(b.body, p...)
	if int64(len(b.body)) <= b.limit {
		return nil
	}
	return b.commit()
}

// finish hands on what is still kept.
func (b *buffered) finish() error {
	if b.committed {
		return nil
	}
	return b.commit()
}

func (b *buffered) commit() error {
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
