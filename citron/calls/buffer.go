package calls

import "github.com/citroncross/citroncross/citron"

// bufferedAnswer holds an answer back until it is whole or larger than a limit. Until then the attempt can be
// followed by another one.
type bufferedAnswer struct {
	out         citron.AnswerWriter
	limit       int64
	status      int
	contentType string
	body        []byte
	committed   bool
}

var _ citron.AnswerWriter = (*bufferedAnswer)(nil)

func newBufferedAnswer(out citron.AnswerWriter, limit int64) *bufferedAnswer {
	return &bufferedAnswer{out: out, limit: limit}
}

// WriteHead keeps what comes before the body.
func (b *bufferedAnswer) WriteHead(status int, contentType string) error {
	b.status, b.contentType = status, contentType
	return nil
}

// WriteChunk keeps a part of the body, or hands it on once the limit is passed.
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

// flush hands on what is still kept.
func (b *bufferedAnswer) flush() error {
	if b.committed {
		return nil
	}
	return b.commit()
}

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
