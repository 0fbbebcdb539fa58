package headlimit

import "encoding/binary"

const (
	frameHeaderBytes = 9
	frameHeaders     = 1
	frameContinue    = 9
	flagEndHeaders   = 4
	// blockByteCost estimates the memory of a byte of a header block: one byte may refer to a field of the
	// table of the connection.
	blockByteCost = 64
)

// Frames follows the frames of an HTTP/2 connection, from its first frame on, and estimates the memory of the
// header blocks. The zero value is at the start of a frame.
type Frames struct {
	header [frameHeaderBytes]byte
	// known is how many bytes of the header have been read, left how many bytes of the payload are to come.
	known int
	left  int64
	block int64
	open  bool
	// highest is the highest stream that a header block has opened.
	highest uint32
}

// Scan reads the next bytes of the connection. For each header block that ends in them and opens a stream it
// calls opened with the estimated cost.
func (f *Frames) Scan(data []byte, opened func(cost int64)) {
	for len(data) > 0 {
		if f.left > 0 {
			n := min(f.left, int64(len(data)))
			f.left -= n
			data = data[n:]
			continue
		}
		n := copy(f.header[f.known:], data)
		f.known += n
		data = data[n:]
		if f.known == frameHeaderBytes {
			f.known = 0
			f.begin(opened)
		}
	}
}

// begin is called with the whole header of a frame.
func (f *Frames) begin(opened func(cost int64)) {
	f.left = int64(f.header[0])<<16 | int64(f.header[1])<<8 | int64(f.header[2])
	kind, flags := f.header[3], f.header[4]
	stream := binary.BigEndian.Uint32(f.header[5:]) & (1<<31 - 1)
	if kind != frameHeaders && kind != frameContinue {
		return
	}
	if kind == frameHeaders {
		f.block, f.open = 0, stream > f.highest
		f.highest = max(f.highest, stream)
	}
	f.block += f.left
	if flags&flagEndHeaders == 0 {
		return
	}
	cost := f.Cost()
	f.block = 0
	if f.open {
		opened(cost)
	}
}

// Cost estimates the memory of the header block that has begun and not ended.
func (f *Frames) Cost() int64 {
	if f.block == 0 {
		return 0
	}
	return requestBytes + blockByteCost*f.block
}
