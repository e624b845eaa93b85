#include "BenchServer.h"

namespace catkinwing {

static void sendPieces(EventLoop& loop, const std::shared_ptr<HttpResponder>& responder, const BenchAnswer& answer, std::size_t sent)
{
    if (!responder->isOpen())
        return;
    responder->write(std::string(std::max<std::size_t>(answer.bytes / answer.pieces, 1), 'x'));
    if (sent + 1 == answer.pieces)
        return responder->finish();
    loop.callAfter(answer.interval, [&loop, responder, answer, sent] { sendPieces(loop, responder, answer, sent + 1); });
}

absl::StatusOr<std::unique_ptr<HttpServer>> startBenchServer(EventLoop& loop, const SocketAddress& listen, const BenchAnswer& answer)
{
    HttpServerOptions options;
    options.listen = listen;
    auto handle = [&loop, answer](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        HttpResponseHead head;
        head.status = 200;
        if (answer.pieces <= 1)
            return responder->send(head, std::string(answer.bytes, 'x'));
        responder->sendHead(head);
        sendPieces(loop, responder, answer, 0);
    };
    return HttpServer::listen(loop, std::move(options), handle);
}

} // namespace catkinwing
