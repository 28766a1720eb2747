// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

const (
	// prefaceBytes is the size of what a client sends before its first frame.
	prefaceBytes = 24
	// dataFrame is the type of the frames that hold messages.
	dataFrame = 0
	// frameHeaderBytes is the size of the header of an HTTP/2 frame: three bytes of length, then the type; the rest is not read here.
	frameHeaderBytes = 9
	frameLengthBytes = 3
	bitsOfByte       = 8
)

// frameCounter counts the bytes of messages in what a client sends over HTTP/2: the content of its data frames.
type frameCounter struct {
	header      [frameHeaderBytes]byte
	headerBytes int
	// left is how many bytes of the current frame are still to come, or of the preface.
	left   int
	isData bool
}

func newFrameCounter() frameCounter {
	return frameCounter{left: prefaceBytes}
}

// count returns how many bytes of messages the next part of a connection holds.
func (f *frameCounter) count(part []byte) int {
	data := 0
	for len(part) > 0 {
		if f.left == 0 {
			part = f.addHeader(part)
			continue
		}
		n := min(f.left, len(part))
		if f.isData {
			data += n
		}
		f.left -= n
		part = part[n:]
	}
	return data
}

// addHeader takes bytes of the header of a frame, and returns the bytes after it.
func (f *frameCounter) addHeader(part []byte) []byte {
	n := copy(f.header[f.headerBytes:], part)
	f.headerBytes += n
	if f.headerBytes == frameHeaderBytes {
		f.headerBytes = 0
		f.left = 0
		for _, digit := range f.header[:frameLengthBytes] {
			f.left = f.left<<bitsOfByte | int(digit)
		}
		f.isData = f.header[frameLengthBytes] == dataFrame
	}
	return part[n:]
}
