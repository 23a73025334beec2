package control

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/sheet"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// operatorServer implements OperatorService, which laburnumctl calls.
type operatorServer struct {
	laburnumv1connect.UnimplementedOperatorServiceHandler
	control *Control
}

// Apply implements OperatorService.
func (o *operatorServer) Apply(ctx context.Context, req *laburnumv1.ApplyRequest) (*laburnumv1.ApplyResponse, error) {
	cfg := req.GetConfiguration()
	if err := sheet.Verify(cfg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.Wrap(err))
	}
	if err := o.checkOwners(cfg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.Wrap(err))
	}
	result, err := o.propose(ctx, &laburnumv1.Command{
		By:   req.By,
		Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}},
	})
	if err != nil {
		return nil, err
	}
	return &laburnumv1.ApplyResponse{Outcome: result.Sheet, Conflict: result.Conflict, Reason: result.Reason}, nil
}

// checkOwners refuses a new sheet that hands a key to another team. Jobs and idempotency records belong to a team by its name, so that the
// holder of the key would lose them, and a request repeated with its Idempotency-Key would run again. Members of earlier versions accept
// such a sheet, so the state machine does, too.
func (o *operatorServer) checkOwners(cfg *laburnumv1.Configuration) (err error) {
	o.control.store.Read(func(s *state.State) {
		if cfg.GetSheetNumber() <= s.SheetNumber {
			return // answered from the log, as before
		}
		if moved := sheet.MovedKeys(s.Configuration(), cfg); len(moved) > 0 {
			err = Error.New("%s; give the other team keys of its own", strings.Join(moved, "; "))
		}
	})
	return err
}

func (o *operatorServer) propose(ctx context.Context, cmd *laburnumv1.Command) (*laburnumv1.CommandResult, error) {
	result, err := o.control.propose(ctx, cmd)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return result, nil
}

// WithdrawKey implements OperatorService. This instance rejects the key immediately, even if the log can't commit the
// withdrawal now.
func (o *operatorServer) WithdrawKey(ctx context.Context, req *laburnumv1.WithdrawKeyRequest) (*laburnumv1.WithdrawKeyResponse, error) {
	w := &laburnumv1.KeyWithdrawal{Sha256: req.Sha256, By: req.By, AtUnix: o.control.now().Unix()}
	if _, ok := state.DigestOf(req.Sha256); !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("the key's digest is not a SHA-256 digest"))
	}
	o.control.store.InvalidateKey(w)
	_, err := o.propose(ctx, &laburnumv1.Command{By: req.By, Kind: &laburnumv1.Command_WithdrawKey{WithdrawKey: w}})
	return &laburnumv1.WithdrawKeyResponse{Committed: err == nil}, nil
}

// Export implements OperatorService.
func (o *operatorServer) Export(ctx context.Context, _ *laburnumv1.ExportRequest) (*laburnumv1.ExportResponse, error) {
	if err := o.control.replica.ReadIndex(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp := &laburnumv1.ExportResponse{}
	o.control.store.Read(func(s *state.State) {
		resp.Configuration = s.Configuration()
		resp.Index = s.Index
	})
	sheet.Sort(resp.Configuration)
	return resp, nil
}

// Explain implements OperatorService.
func (o *operatorServer) Explain(_ context.Context, req *laburnumv1.ExplainRequest) (*laburnumv1.ExplainResponse, error) {
	resp := &laburnumv1.ExplainResponse{}
	o.control.machine.read(func(m *machine.Machine) {
		for _, d := range m.Decisions {
			if d.Subject == req.Subject {
				resp.Decisions = append(resp.Decisions, d)
			}
		}
	})
	return resp, nil
}
