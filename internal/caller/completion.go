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
)

// ErrTruncated says that a stream ended without its closing event.
var ErrTruncated = errors.New("the answer was cut off")

const (
	streamEnd  = "[DONE]" // data of a completion's closing event
	errorEvent = "error"  // type of the event that ends a failed stream
)

// Complete makes a completion, streamed or not, at the entry with a base URL.
// Its answer has one choice. The error is a *Refused, the *api.Refusal that
// ended a stream, ErrTruncated, or that of the connection.
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
	return parse(io.ReadAll(body))
}

// parse reads a completion with exactly one choice.
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

// readStream puts a streamed answer together.
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

// streamError reads the event that ends a failed stream.
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
