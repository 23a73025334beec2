package entry

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/operators"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// maxOperatorBytes bounds a decoded request from an operator, which holds a digest.
const maxOperatorBytes = 64 << 10

// operatorServer accepts withdrawals of keys at an entry, for the case that no control instance can be reached.
type operatorServer struct {
	laburnumv1connect.UnimplementedOperatorServiceHandler
	entry *Entry
}

// handleOperators adds the operators' service only if the settings list operators, as callers can reach this listener too.
func (e *Entry) handleOperators(mux *http.ServeMux) {
	if len(e.settings.Operators) == 0 {
		return
	}
	auth := operators.New(e.settings.Operators, e.log)
	server := &operatorServer{entry: e}
	path, handler := laburnumv1connect.NewOperatorServiceHandler(server, connect.WithInterceptors(auth.Interceptor()), connect.WithReadMaxBytes(maxOperatorBytes), operators.PlainRequests())
	mux.Handle(path, auth.Identify(operators.RefuseUnreceived(handler)))
}

// WithdrawKey implements OperatorService. The key is void at this entry at once; the withdrawal spreads from peer to
// peer and is committed once the leader of the control log learns of it.
func (o *operatorServer) WithdrawKey(_ context.Context, req *laburnumv1.WithdrawKeyRequest) (*laburnumv1.WithdrawKeyResponse, error) {
	if _, ok := state.DigestOf(req.Sha256); !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("not a SHA-256"))
	}
	w := &laburnumv1.KeyWithdrawal{Sha256: req.Sha256, By: req.By, AtUnix: o.entry.now().Unix()}
	o.entry.applyWithdrawals([]*laburnumv1.KeyWithdrawal{w})
	return &laburnumv1.WithdrawKeyResponse{}, nil
}
