package daemon

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// RequestLink asks the daemon that coordinates a store's link for a transfer slot,
// in the background.
func (r *effectHandler) RequestLink(e reducer.RequestLink) {
	go func() {
		settled := reducer.LinkAnswered{Request: e.Request, Store: e.Store, Export: e.Export}
		reply, err := r.exchanger.Link(context.Background(), e.Coordinator, describer.Link{
			Store: e.Store, Bytes: e.Bytes, Share: e.Share, Export: e.Export,
		})
		settled.Granted, settled.Wait, settled.Failed = reply.Granted, reply.Wait, err != nil
		r.post(settled)
	}()
}

// ReturnLink returns the unused part of a transfer slot to the link's
// coordinator, in the background.
func (r *effectHandler) ReturnLink(e reducer.ReturnLink) {
	go func() {
		_, err := r.exchanger.ReturnLink(context.Background(), e.Coordinator, describer.ReturnLink{Store: e.Store, Bytes: e.Bytes, Share: e.Share})
		if err != nil {
			r.cfg.Logger.Debug("unused transfer slot not returned", "store", string(e.Store), "error", err)
		}
	}()
}

// AnswerLink passes the reducer's answer to the pending call of a peer.
func (r *effectHandler) AnswerLink(e reducer.AnswerLink) { r.pendingLinks.resolve(e.Call, e) }

// OnLink asks the reducer for a transfer slot on behalf of a peer.
func (p *peerHandler) OnLink(m describer.Link) (describer.LinkReply, error) {
	call, answer := p.effects.pendingLinks.register()
	p.effects.post(reducer.LinkRequested{Call: call, Store: m.Store, Bytes: m.Bytes, Share: m.Share, Export: m.Export})
	select {
	case a := <-answer:
		return describer.LinkReply{Granted: a.Granted, Wait: a.Wait}, nil
	case <-p.effects.clock.After(reducerReplyTimeout):
		p.effects.pendingLinks.cancel(call)
		return describer.LinkReply{}, newError("link", KindRun, errReducerTimeout)
	}
}

// OnReturnLink passes on the unused part of a peer's transfer slot to the reducer.
func (p *peerHandler) OnReturnLink(m describer.ReturnLink) (describer.ReturnLinkReply, error) {
	p.effects.post(reducer.LinkReturned{Store: m.Store, Bytes: m.Bytes, Share: m.Share})
	return describer.ReturnLinkReply{Returned: true}, nil
}
