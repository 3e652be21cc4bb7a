// Package prefix identifies shared prefixes of prompts by chained hashes of
// fixed-size blocks.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token of English text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	// blockBytes is the length of a block.
	blockBytes = BlockTokens * BytesPerToken
)

// Message is one turn of a chat.
type Message struct {
	// Role is system, user or assistant.
	Role string
	// Content is the text of the turn.
	Content string
}

// Render returns the prompt text of a chat. Chats with the same first messages have
// prompts with a shared prefix.
func Render(messages []Message) []byte {
	var prompt []byte
	for _, message := range messages {
		prompt = append(prompt, '<')
		prompt = append(prompt, message.Role...)
		prompt = append(prompt, '>')
		prompt = append(prompt, message.Content...)
		prompt = append(prompt, '\n')
	}
	return prompt
}

// Tokens estimates the number of tokens in a prompt.
func Tokens(prompt []byte) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns the chained hash of each complete block of the prompt: the hash of
// block i covers the prompt from its start to the end of block i.
func Blocks(prompt []byte) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var chained [8]byte
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		digest.Reset()
		_, _ = digest.Write(chained[:])
		_, _ = digest.Write(prompt[:blockBytes])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(chained[:], hash)
		blocks = append(blocks, hash)
		prompt = prompt[blockBytes:]
	}
	return blocks
}
