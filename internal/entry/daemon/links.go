package daemon

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// RequestLink requests a time slot on a store's link from the link's coordinator,
// in the background.
func (h *effectHandler) RequestLink(e reducer.RequestLink) {
	go func() {
		answer := reducer.LinkAnswered{Request: e.Request, Store: e.Store, Export: e.Export}
		reply, err := h.exchanger.Link(context.Background(), e.Coordinator, describer.Link{
			Store: e.Store, Bytes: e.Bytes, Share: e.Share, Export: e.Export,
		})
		answer.Granted, answer.Wait, answer.Failed = reply.Granted, reply.Wait, err != nil
		h.post(answer)
	}()
}

// ReturnLink reports the unused part of a time slot to the link's coordinator, in
// the background.
func (h *effectHandler) ReturnLink(e reducer.ReturnLink) {
	go func() {
		_, err := h.exchanger.ReturnLink(context.Background(), e.Coordinator, describer.ReturnLink{Store: e.Store, Bytes: e.Bytes, Share: e.Share})
		if err != nil {
			h.cfg.Logger.Debug("unused part of a time slot not returned", "store", string(e.Store), "error", err)
		}
	}()
}

// AnswerLink passes the reducer's answer to the pending call of a peer.
func (h *effectHandler) AnswerLink(e reducer.AnswerLink) { h.pendingLinks.resolve(e.Call, e) }

// OnLink requests a time slot from the reducer on behalf of a peer.
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

// OnReturnLink passes the unused part of a peer's time slot to the reducer.
func (p *peerHandler) OnReturnLink(m describer.ReturnLink) (describer.ReturnLinkReply, error) {
	p.effects.post(reducer.LinkReturned{Store: m.Store, Bytes: m.Bytes, Share: m.Share})
	return describer.ReturnLinkReply{Returned: true}, nil
}
