// Package callers starts the real gateway with callers that misuse it, one kind in each test. It
// requires that the process lives, keeps its memory and descriptors within their bounds, and answers
// an ordinary request afterwards. Run it with `make callers`.
package callers
