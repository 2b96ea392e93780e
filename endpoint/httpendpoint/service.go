package httpendpoint

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/httponce"
)

const (
	// maxServiceBody limits the body of a plain service's response, in bytes.
	maxServiceBody = 8 << 20
	// serviceMemory limits the bytes of all responses of a service that are being read, beside the first few of
	// each.
	serviceMemory = 2 * maxServiceBody
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Service is an HTTP client of a plain service. It implements endpoint.Service.
type Service struct {
	base string
	once *httponce.Client
	// memory is that of responses while they are read.
	memory *httponce.AnswerMemory
}

var _ endpoint.Service = (*Service)(nil)

// NewService returns a client of the plain service at baseURL ("http://ip:port").
func NewService(baseURL string) *Service {
	return &Service{base: strings.TrimSuffix(baseURL, "/"), once: httponce.New(), memory: httponce.NewAnswerMemory(serviceMemory)}
}

// Call implements endpoint.Service. A response of any status is returned without
// an error; redirects are returned, not followed.
func (s *Service) Call(ctx context.Context, in endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	var out endpoint.ServiceResponse
	req, err := s.request(ctx, in)
	if err != nil {
		return out, &endpoint.NotStartedError{Err: trace.Wrap(err, "service.call: service %s", s.base)}
	}
	resp, err := s.once.Do(req)
	if err != nil {
		return out, trace.Wrap(mapUnsent(err), "service.call: service %s", s.base)
	}
	defer resp.Body.Close()
	body, err := s.memory.ReadBody(resp, maxServiceBody)
	if err != nil {
		return out, trace.Wrap(err, "service.call: service %s", s.base)
	}
	return endpoint.ServiceResponse{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

func (s *Service) request(ctx context.Context, in endpoint.ServiceRequest) (*http.Request, error) {
	if !strings.HasPrefix(in.Path, "/") {
		return nil, trace.BadParameter("path %q does not begin with /", in.Path)
	}
	if _, err := url.ParseRequestURI(in.Path); err != nil {
		return nil, trace.BadParameter("path: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, s.base+in.Path, bytes.NewReader(in.Body))
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	req.Header = endToEnd(in.Header)
	return req, nil
}

// endToEnd returns a copy of the end-to-end headers, those that are forwarded.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, listed := range h.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
