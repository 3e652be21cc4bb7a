package engine

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// wordLength is the length of a generated word including its trailing space.
const wordLength = 6

// AnswerText returns count words of the answer to a prompt, beginning at position from.
// It is a pure function, so that a test can check an answer that was assembled
// from several streams.
func AnswerText(prompt []byte, from, count int) string {
	seed := xxhash.Sum64(prompt)
	var text strings.Builder
	for i := from; i < from+count; i++ {
		text.WriteString(word(seed, i))
	}
	return text.String()
}

// word returns the word at a position, for example "w03fa ".
func word(seed uint64, position int) string {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], seed)
	binary.LittleEndian.PutUint64(input[8:], uint64(position))
	var hash [8]byte
	binary.LittleEndian.PutUint64(hash[:], xxhash.Sum64(input[:]))
	return "w" + hex.EncodeToString(hash[:2]) + " "
}

// splitGenerated returns the prompt without the generated words at its end, and
// the number of these words.
func splitGenerated(prompt []byte) ([]byte, int) {
	count := 0
	for endsWithWord(prompt) {
		prompt = prompt[:len(prompt)-wordLength]
		count++
	}
	return prompt, count
}

func endsWithWord(prompt []byte) bool {
	if len(prompt) < wordLength {
		return false
	}
	end := prompt[len(prompt)-wordLength:]
	if end[0] != 'w' || end[wordLength-1] != ' ' {
		return false
	}
	_, err := hex.DecodeString(string(end[1 : wordLength-1]))
	return err == nil
}
