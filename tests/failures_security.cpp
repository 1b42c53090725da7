// TLS towards callers and between processes, with real processes.

#include "harness.h"
#include "rpc/rpc.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

/// A folder with an authority and a certificate that it signed.
class certificates {
public:
    explicit certificates(const std::string& name)
        : m_folder(std::filesystem::temp_directory_path()
            / ("yuccachute-keys-" + std::to_string(::getpid()) + '-' + name))
    {
        std::filesystem::create_directories(m_folder);
        run("openssl req -x509 -newkey rsa:2048 -nodes -keyout ca.key -out ca.pem -subj /CN=authority -days "
            "2");
        run("openssl req -newkey rsa:2048 -nodes -keyout peer.key -out peer.csr -subj /CN=peer");
        run("openssl x509 -req -in peer.csr -CA ca.pem -CAkey ca.key -CAcreateserial -out peer.pem -days 2");
    }
    ~certificates() { std::filesystem::remove_all(m_folder); }

    std::string file(const std::string& name) const { return (m_folder / name).string(); }
    std::string options() const
    {
        return "peer_certificate = " + file("peer.pem") + "\npeer_private_key = " + file("peer.key")
            + "\npeer_authority = " + file("ca.pem") + '\n';
    }
    rpc_security security() const { return { file("peer.pem"), file("peer.key"), file("ca.pem") }; }

private:
    void run(const std::string& command) const
    {
        const auto quiet = "cd " + m_folder.string() + " && " + command + " >/dev/null 2>&1";
        REQUIRE(std::system(quiet.c_str()) == 0);
    }

    std::filesystem::path m_folder;
};

bool canGossip(const std::string& address, const rpc_security& security)
{
    rpc_client client(security);
    return client.gossip(address, {}, milliseconds { 1500 }).has_value();
}

} // namespace

// Story: somebody in the network calls an entry's port for peers, hands it members and settings of his own,
// and every VM takes them over.
TEST_CASE("only processes with a certificate of the authority are heard")
{
    const certificates own("own");
    const certificates foreign("foreign");
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a", own.options());
    system.addEntry("n2", "a", own.options());
    system.addBatch("b1", "n1", own.options());
    system.start();
    CHECK(system.complete("n1", "over TLS", 4).whole);
    CHECK(system.complete("n2", "over TLS", 4).whole);
    const auto address = system.rpcAddress("n1");
    CHECK(canGossip(address, own.security()));
    CHECK(!canGossip(address, {}));
    CHECK(!canGossip(address, foreign.security()));
}

TEST_CASE("callers are served over TLS when a certificate is named, and not in the clear")
{
    const certificates own("callers");
    test_system system;
    system.addEngine("e1", "a");
    system.addEntry("n1", "a");
    system.addEntry("n2", "a",
        "certificate = " + own.file("peer.pem") + "\nprivate_key = " + own.file("peer.key") + '\n');
    system.setSecureEntry("n2");
    system.start();
    const auto output = own.file("answer");
    const auto curl = [&](const std::string& scheme) {
        const auto command = "curl -sk --max-time 10 " + scheme + "://" + system.address("n2")
            + "/v1/completions -H 'Authorization: Bearer key-small' -d "
              "'{\"model\":\"screening\",\"prompt\":\"x\",\"max_tokens\":3,\"stream\":true}' >"
            + output + " 2>/dev/null";
        return std::system(command.c_str()) == 0;
    };
    waitUntil("the entry to be ready", [&] {
        curl("https");
        std::stringstream text;
        text << std::ifstream(output).rdbuf();
        return text.str().find("data: [DONE]") != std::string::npos;
    });
    CHECK(!curl("http"));
}
