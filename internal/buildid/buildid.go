// Package buildid identifies the running program by its content, whether or not the build stamped it
// with a revision.
package buildid

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"strings"
	"sync"
)

// Unknown is the id of a program that cannot be read or has no Go build ID.
const Unknown = "unknown"

// noteSection is the section in which the Go linker stores the build ID.
const noteSection = ".note.go.buildid"

// Own returns the id of the running program. Two programs have the same one if and only if their
// content is the same; it is the last part of what "go tool buildid FILE" prints.
var Own = sync.OnceValue(func() string {
	path, err := os.Executable()
	if err != nil {
		return Unknown
	}
	return Of(path)
})

// Of returns the id of a program file, or Unknown.
func Of(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer f.Close()
	section := f.Section(noteSection)
	if section == nil {
		return Unknown
	}
	data, err := section.Data()
	if err != nil {
		return Unknown
	}
	return contentID(noteDescription(data, f.ByteOrder))
}

// noteHeaderBytes is the size of a note's header: the sizes of its name and of its description, and
// its type.
const noteHeaderBytes = 12

// noteDescription returns the description of an ELF note; nil if the note is malformed.
func noteDescription(note []byte, order binary.ByteOrder) []byte {
	if len(note) < noteHeaderBytes {
		return nil
	}
	name, size := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	begin := noteHeaderBytes + (name+3)/4*4 // names are padded to four bytes
	if begin+size > uint64(len(note)) {
		return nil
	}
	return note[begin : begin+size]
}

// contentID returns the last part of a Go build ID, the hash of the program's content.
func contentID(buildID []byte) string {
	text := string(bytes.TrimRight(buildID, "\x00"))
	id := text[strings.LastIndexByte(text, '/')+1:]
	if id == "" {
		return Unknown
	}
	return id
}
