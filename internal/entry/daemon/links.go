package daemon

import (
	"context"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// AskLink asks a store's link keeper in the background.
func (s *surroundings) AskLink(e reducer.AskLink) {
	go func() {
		settled := reducer.LinkSettled{Request: e.Request, Store: e.Store, Export: e.Export}
		reply, err := s.peers.Link(context.Background(), e.Owner, describer.Link{
			Store: e.Store, Bytes: e.Bytes, Share: e.Share, Export: e.Export,
		})
		settled.Granted, settled.Wait, settled.Failed = reply.Granted, reply.Wait, err != nil
		s.post(settled)
	}()
}

// ReturnLink tells the link keeper in the background what was not used.
func (s *surroundings) ReturnLink(e reducer.ReturnLink) {
	go func() {
		_, err := s.peers.ReturnLink(context.Background(), e.Owner, describer.ReturnLink{Store: e.Store, Bytes: e.Bytes, Share: e.Share})
		if err != nil {
			s.cfg.Logger.Debug("an unused time on a link was not returned", "store", string(e.Store), "error", err)
		}
	}()
}

// AnswerLink hands the reducer's answer to the waiting call of a peer.
func (s *surroundings) AnswerLink(e reducer.AnswerLink) { s.links.answer(e.Call, e) }

// OnLink asks the reducer for a time on a link.
func (p *peers) OnLink(m describer.Link) (describer.LinkReply, error) {
	call, answer := p.around.links.expect()
	p.around.post(reducer.LinkAsked{Call: call, Store: m.Store, Bytes: m.Bytes, Share: m.Share, Export: m.Export})
	select {
	case a := <-answer:
		return describer.LinkReply{Granted: a.Granted, Wait: a.Wait}, nil
	case <-p.around.clock.After(answerTimeout):
		p.around.links.forget(call)
		return describer.LinkReply{}, newError("link", KindRun, errNoAnswer)
	}
}

// OnReturnLink takes back what a transfer did not use.
func (p *peers) OnReturnLink(m describer.ReturnLink) (describer.ReturnLinkReply, error) {
	p.around.post(reducer.LinkReturned{Store: m.Store, Bytes: m.Bytes, Share: m.Share})
	return describer.ReturnLinkReply{Returned: true}, nil
}
