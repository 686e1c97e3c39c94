/// Writes one frame body for each of several message types into a directory, as the seed corpus of the fuzz target.

#include "wire/compression.h"
#include "wire/frame.h"

#include <fstream>
#include <iostream>

namespace {

using namespace mustardpond;

template <typename Message>
void write(const std::string &directory, const char *name, Message message)
{
    std::ofstream(directory + "/" + name, std::ios::binary)
        << packMessage(std::move(message)).substr(FRAME_HEADER_BYTES);
}

wire::ProxyRequestT newRequest()
{
    wire::ProxyRequestT request;
    request.request = 7;
    request.service = "sicil";
    request.method = "GET";
    request.headers.push_back(std::make_unique<wire::HeaderT>());
    request.body = {1, 2, 3};
    return request;
}

wire::AnswerT newAnswer()
{
    wire::AnswerT answer;
    answer.status = 200;
    answer.load = std::make_unique<wire::LoadT>();
    answer.body = {1, 2, 3};
    return answer;
}

wire::GossipT newGossip()
{
    wire::GossipT gossip;
    gossip.replyTo = "127.0.0.1:7001";
    gossip.ping = std::make_unique<wire::PingT>();
    gossip.ack = std::make_unique<wire::AckT>();
    gossip.pull = std::make_unique<wire::PullRequestT>();
    auto member = std::make_unique<wire::MemberRecordT>();
    member->node = "peer";
    member->inner = "127.0.0.1:7001";
    member->upstreams.push_back(std::make_unique<wire::UpstreamRecordT>());
    member->upstreams.back()->slots = 5;
    gossip.members.push_back(std::move(member));
    gossip.objects.push_back(std::make_unique<wire::ObjectRecordT>());
    gossip.objects.back()->kind = "class";
    auto compressed = std::make_unique<wire::ObjectRecordT>();
    compressed->version = 1;
    compressed->packed = compressBytes("{}");
    compressed->size = 2;
    gossip.objects.push_back(std::move(compressed));
    return gossip;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: seeds DIRECTORY\n";
        return 2;
    }
    const std::string directory = argv[1];
    write(directory, "request", newRequest());
    write(directory, "answer", newAnswer());
    write(directory, "gossip", newGossip());
    write(directory, "open", wire::OpenOperationT());
    write(directory, "opened", wire::OperationOpenedT());
    write(directory, "close", wire::CloseOperationT());
    write(directory, "chunk", wire::BodyChunkT());
    write(directory, "proceed", wire::ProceedT());
}
