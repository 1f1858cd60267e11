package load

import "sync"

const bareBuffer = 32 << 10

// bufferPool keeps the buffers of the bare relays.
type bufferPool struct{ p sync.Pool }

var bareBuffers bufferPool

func (b *bufferPool) get() *[bareBuffer]byte {
	if v := b.p.Get(); v != nil {
		return v.(*[bareBuffer]byte)
	}
	return new([bareBuffer]byte)
}

func (b *bufferPool) put(v *[bareBuffer]byte) { b.p.Put(v) }
