package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/httponce"
)

// ErrTruncated is returned for a stream that stops before its closing event.
var ErrTruncated = errors.New("the answer was cut off")

const (
	streamEnd  = "[DONE]" // data of a completion's closing event
	errorEvent = "error"  // type of the last event of a failed stream
)

// Complete requests a completion, streamed or not, from the entry at a base URL. The
// returned completion has one choice. The error is a *Refused, the *api.Refusal in
// the error event of a stream, ErrTruncated, or a connection error.
func Complete(ctx context.Context, client *http.Client, entry string, req *api.CompletionRequest, header http.Header) (*api.Completion, error) {
	text, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	body, err := Do(ctx, client, Call{URL: entry + api.PathCompletions, Header: header, Body: text})
	if err != nil {
		return nil, err
	}
	defer body.Close()
	if req.Stream {
		return readStream(body)
	}
	return parse(httponce.ReadBody(body, maxBody))
}

// parse parses a completion, which must have exactly one choice, unless err is set.
func parse(text []byte, err error) (*api.Completion, error) {
	if err != nil {
		return nil, err
	}
	answer := new(api.Completion)
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, err
	}
	if len(answer.Choices) != 1 {
		return nil, trace.Errorf("the answer has %d choices", len(answer.Choices))
	}
	return answer, nil
}

// readStream reads a streamed completion and joins the texts of its events.
func readStream(r io.Reader) (*api.Completion, error) {
	whole := new(api.Completion)
	text := ""
	for ev, err := range sse.Read(r, nil) {
		switch {
		case err != nil:
			return nil, err
		case ev.Type == errorEvent:
			return nil, streamError(ev.Data)
		case ev.Data == streamEnd:
			return whole, nil
		}
		part, err := parse([]byte(ev.Data), nil)
		if err != nil {
			return nil, err
		}
		text += part.Choices[0].Text
		whole = part
		whole.Choices[0].Text = text
	}
	return nil, ErrTruncated
}

// streamError returns the refusal in the data of a stream's error event.
func streamError(data string) error {
	var body api.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	if body.Error == nil {
		return trace.Errorf("the stream failed without a refusal: %s", data)
	}
	return body.Error
}
