package peering

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// windowSize is the distance in bytes within which repetitions are found. It covers
	// an object of the store's largest size and the version that it replaces.
	windowSize = 2 << 20
	// maxDecompressedSize is the largest size of a decompressed object in bytes.
	maxDecompressedSize = 8 << 20
	// dictionaryID is the zstd ID of the base, the only dictionary that is used.
	dictionaryID = 1
)

// Compress compresses an object. Content that also occurs in base, an earlier version
// of the object that the receiver has, takes almost no space. The base may be empty.
func Compress(base, object []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create encoder: %w", err)
	}
	compressed := encoder.EncodeAll(object, nil)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("close encoder: %w", err)
	}
	return compressed, nil
}

// Decompress returns an object that Compress has compressed with the same base.
func Decompress(base, compressed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedSize),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create decoder: %w", err)
	}
	defer decoder.Close()
	object, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if len(object) == 0 {
		return nil, eris.New("decompressed object is empty")
	}
	return object, nil
}
