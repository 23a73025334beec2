package entry

import "sync"

const (
	// tokensPerRetry is the cost of a retry. Each request adds one token, so that in the long run at most one
	// request in tokensPerRetry is retried.
	tokensPerRetry = 10
	// maxSavedRetries bounds the tokens that the budget accumulates, in retries.
	maxSavedRetries = 20
)

// retryBudget limits retries to a fraction of the requests, so that retries can't double the load during an
// overload. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens int
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries * tokensPerRetry} }

// addToken adds the token of one request.
func (b *retryBudget) addToken() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, maxSavedRetries*tokensPerRetry)
}

// takeRetry pays for one retry. It returns false if there are too few tokens.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
