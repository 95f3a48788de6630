package strict

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("strict")

// ErrMalformed is returned for a response that HTTP/1.1 doesn't allow. Other errors are those of the connection.
var ErrMalformed = Errors.NewType("malformed")

const (
	// MaxHead is the size in bytes up to which a head, and a trailer section, is read.
	MaxHead = 64 << 10
	// codeLength is the number of digits of a status code.
	codeLength = 3
	// blanks may surround a value. Trimming other white space would hide a stray CR.
	blanks = " \t"
)

// Head is a response without its body.
type Head struct {
	Status  int
	Header  http.Header // Without Transfer-Encoding and Trailer.
	Length  int64       // Declared length of the body in bytes, or -1 if there is none.
	Chunked bool        // The body ends with its last chunk.
	Close   bool        // The connection can't be used after this response.
}

// UntilClose reports whether the body ends with the connection.
func (h *Head) UntilClose() bool { return h.Length < 0 && !h.Chunked }

// ReadHead reads the head of a response to a request with the given method. It returns ErrMalformed if the head isn't valid.
func ReadHead(r *bufio.Reader, method string) (Head, error) {
	left := MaxHead
	line, err := readLine(r, &left)
	if err != nil {
		return Head{}, err
	}
	version, status, err := parseStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	header, err := readFields(r, &left)
	if err != nil {
		return Head{}, err
	}
	h := Head{Status: status, Header: header, Length: -1}
	h.Close = version == "HTTP/1.0" || httpguts.HeaderValuesContainsToken(header["Connection"], "close")
	if err := h.setFraming(version, method); err != nil {
		return Head{}, err
	}
	return h, nil
}

// readLine reads a line without its CRLF, and subtracts its bytes from those that are left.
func readLine(r *bufio.Reader, left *int) (string, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if *left -= len(part); *left < 0 {
			return "", ErrMalformed.New("response head or trailer section exceeds %d bytes", MaxHead)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
			continue
		case err == io.EOF:
			return "", io.ErrUnexpectedEOF
		case err != nil:
			return "", err
		}
		line, ok := strings.CutSuffix(string(append(long, part...)), "\r\n")
		if !ok {
			return "", ErrMalformed.New("response line ends without CR")
		}
		return line, nil
	}
}

// parseStatusLine returns the version and the status code of a status line.
func parseStatusLine(line string) (string, int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, ok := strings.Cut(rest, " ")
	if !ok || version != "HTTP/1.1" && version != "HTTP/1.0" || !httpguts.ValidHeaderFieldValue(reason) {
		return "", 0, ErrMalformed.New("malformed status line %q", excerpt(line))
	}
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != codeLength || !ValidStatus(int(status)) {
		return "", 0, ErrMalformed.New("invalid status code %q", excerpt(code))
	}
	return version, int(status), nil
}

// readFields reads field lines up to the empty line that ends them. It refuses lines that continue the one before, since a reader
// that doesn't know them takes them for fields.
func readFields(r *bufio.Reader, left *int) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := readLine(r, left)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return header, nil
		}
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, blanks)
		if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, ErrMalformed.New("malformed field line %q", excerpt(line))
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		header[name] = append(header[name], value)
	}
}

// excerpt returns the part of a malformed line that an error shows.
func excerpt(line string) string {
	const maxExcerpt = 64
	return line[:min(len(line), maxExcerpt)]
}
