package strict

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
)

// setFraming derives where the body ends from the header, as in RFC 9112, section 6.3. A response with both a length and a transfer
// coding is refused, since it may have been composed to be read in two ways.
func (h *Head) setFraming(version, method string) error {
	codings, lengths := h.Header["Transfer-Encoding"], h.Header["Content-Length"]
	delete(h.Header, "Transfer-Encoding")
	delete(h.Header, "Trailer")
	length, err := parseLength(lengths)
	if err != nil {
		return err
	}
	if len(codings) > 0 {
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || len(lengths) > 0 || version == "HTTP/1.0" {
			return ErrMalformed.New("unsupported framing: transfer coding %q, length %q", excerpt(strings.Join(codings, ",")), excerpt(strings.Join(lengths, ",")))
		}
	}
	switch {
	case method == http.MethodHead || h.Status < http.StatusOK || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified:
		h.Length = 0
	case len(codings) > 0:
		h.Chunked = true
	case len(lengths) > 0:
		h.Length = length
	default:
		h.Close = true
	}
	return nil
}

// parseLength returns the declared length of a body; several values must be equal.
func parseLength(values []string) (int64, error) {
	if len(values) == 0 {
		return 0, nil
	}
	parts := strings.Split(strings.Join(values, ","), ",")
	first := strings.Trim(parts[0], blanks)
	for _, p := range parts {
		if strings.Trim(p, blanks) != first {
			return 0, ErrMalformed.New("contradictory lengths %q", excerpt(strings.Join(values, ",")))
		}
	}
	n, err := strconv.ParseUint(first, 10, 63)
	if err != nil {
		return 0, ErrMalformed.New("invalid length %q", excerpt(first))
	}
	return int64(n), nil
}

// Body returns a reader of the body that follows the head. It returns io.EOF only at the end of a complete body; one that is
// UntilClose ends with the connection, and the caller must find out whether that was reset.
func (h *Head) Body(r *bufio.Reader) io.Reader {
	switch {
	case h.Chunked:
		return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
	case h.Length >= 0:
		return &sizedBody{r: r, left: h.Length}
	}
	return r
}

// sizedBody reads a body of a declared length.
type sizedBody struct {
	r    io.Reader
	left int64 // Bytes.
}

// Read reads up to the end of the body.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks with its trailer section, whose fields it drops.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	ended  bool // The trailer section has been read.
}

// Read reads up to the end of the trailer section.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	left := MaxHead
	if _, err := readFields(b.r, &left); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}
