package peer_test

import (
	"context"
	"sync"

	"github.com/cranberrywalk/cranberrywalk/peer"
)

// handler is a fake daemon around a mesh.
type handler struct {
	mutex    sync.Mutex
	own      peer.Digest
	snapshot []byte
	offset   uint64
	answers  map[string]peer.Answer
	// news receives every digest that the mesh hands over and that holds
	// facts about others.
	news chan peer.Digest
	// installed receives the offsets of installed configurations.
	installed chan uint64
}

func newHandler() *handler {
	return &handler{
		answers:   make(map[string]peer.Answer),
		news:      make(chan peer.Digest, 64),
		installed: make(chan uint64, 64),
	}
}

func (h *handler) change(change func(*handler)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change(h)
}

func (h *handler) Digest() peer.Digest {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	own := h.own
	own.ConfigurationOffset = h.offset
	return own
}

func (h *handler) Merge(news peer.Digest) {
	if news.IsEmpty() {
		return
	}
	select {
	case h.news <- news:
	default:
	}
}

func (h *handler) Configuration() ([]byte, uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.snapshot, h.offset
}

func (h *handler) Install(snapshot []byte, offset uint64) error {
	h.change(func(h *handler) { h.snapshot, h.offset = snapshot, offset })
	h.installed <- offset
	return nil
}

func (h *handler) Answer(_ context.Context, key string) (peer.Answer, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	answer, known := h.answers[key]
	if !known {
		return peer.Answer{State: peer.NotFound}, nil
	}
	return answer, nil
}
