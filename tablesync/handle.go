package tablesync

import (
	"errors"

	"mulberryscale.example/api"
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// Step names in refusals.
const (
	stepPush = "table.push"
)

// HandlePull handles a peer's PullTable. The reply holds the document in force if it
// is newer than the peer's. The table version in self is set to the one in force.
func HandlePull(h *Holder, self wire.Header, pull wire.PullTable) wire.Reply {
	reply := wire.Reply{Header: self, OK: true}
	doc := h.Document()
	if doc == nil {
		return reply
	}
	reply.Header.TableVersion = doc.Version
	if doc.Version > pull.Have {
		reply.Table = doc
	}
	return reply
}

// HandlePush handles a peer's PushTable: it installs the document if it is newer.
func HandlePush(h *Holder, self wire.Header, doc wire.TableDocument) wire.Reply {
	_, err := h.Install(doc)
	self.TableVersion = h.Version()
	if err == nil {
		return wire.Reply{Header: self, OK: true}
	}
	return wire.Reply{Header: self, Refusal: &api.Refusal{
		Code:    codeOf(err),
		Message: err.Error(),
		NotRun:  api.NotRunTrue,
		Step:    stepPush,
		Peer:    self.From,
	}}
}

func codeOf(err error) api.Code {
	var errs table.Errors
	if errors.As(err, &errs) {
		return api.CodeBadRequest
	}
	return api.CodeInternal
}
