package serve

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// firstBodyBytes is the size of the first buffer of a body. It doubles as the body arrives, so that a client that announces
// a large body and sends nothing takes no room.
const firstBodyBytes = 4 << 10

// ReadBody reads a request's body of at most limit bytes into memory of the budget. It returns *http.MaxBytesError for a
// larger one and ErrNoMemory if the memory for requests is used up.
func ReadBody(r *http.Request, limit int64) (body []byte, err error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	// One byte more shows the end of the body, or that it is too large.
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	release := func() {}
	for size := min(firstBodyBytes, most); ; size = min(2*size, most) {
		former := release
		if release, err = Reserve(r, size); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, size), body...)
		former()
		if body, err = fill(r.Body, body); err != nil {
			break
		}
		if size == most {
			return nil, &http.MaxBytesError{Limit: limit}
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, finishBody(r)
}

// fill reads until the buffer is full.
func fill(from io.Reader, buffer []byte) (filled []byte, err error) {
	for len(buffer) < cap(buffer) && err == nil {
		n := 0
		n, err = from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
	}
	return buffer, err
}

// finishBody ends the time limit of a body and takes the memory of its trailer.
func finishBody(r *http.Request) error {
	c := connectionOf(r)
	if c == nil {
		return nil
	}
	if len(r.Trailer) > 0 {
		if _, err := Reserve(r, c.bufferedLines.Load()*int64(headerLineBytes)); err != nil {
			return err
		}
	}
	if !c.received() {
		return ErrNoMemory
	}
	return c.SetReadDeadline(time.Time{})
}
