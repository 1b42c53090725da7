#include "security.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace yuccachute {

namespace {

constexpr unsigned refreshSeconds = 1;
constexpr std::string_view failurePrefix = "yuccachute:";

std::shared_ptr<grpc::experimental::CertificateProviderInterface> certificateProvider(
    const rpc_security& security)
{
    return std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
        security.privateKeyFile, security.certificateFile, security.authorityFile, refreshSeconds);
}

} // namespace

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const rpc_security& security)
{
    if (!security.enabled())
        return grpc::InsecureServerCredentials();
    grpc::experimental::TlsServerCredentialsOptions options(certificateProvider(security));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return grpc::experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const rpc_security& security)
{
    if (!security.enabled())
        return grpc::InsecureChannelCredentials();
    grpc::experimental::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(certificateProvider(security));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    // Peers are addressed by IP, and every new VM has another address, so certificates cannot name the host.
    // Only the signature of the authority is verified.
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<grpc::experimental::NoOpCertificateVerifier>());
    return grpc::experimental::TlsCredentials(options);
}

grpc::Status toStatus(const failure& error)
{
    const auto code = error.kind == failure_kind::bad_request ? grpc::StatusCode::INVALID_ARGUMENT
                                                              : grpc::StatusCode::FAILED_PRECONDITION;
    // Format: prefix, failure kind, verdict, retry delay in ms, message; separated by colons.
    return { code,
        std::string(failurePrefix) + std::to_string(static_cast<int>(error.kind)) + ':'
            + std::to_string(static_cast<int>(error.ran)) + ':' + std::to_string(error.retryAfter.count())
            + ':' + error.message };
}

failure fromStatus(const grpc::Status& status)
{
    const auto& text = status.error_message();
    int kind = 0;
    int ran = 0;
    long long retryAfter = 0;
    int consumed = 0;
    const bool hasFailure = text.rfind(failurePrefix, 0) == 0
        && std::sscanf(
               text.c_str() + failurePrefix.size(), "%d:%d:%lld:%n", &kind, &ran, &retryAfter, &consumed)
            == 3
        && consumed > 0;
    if (hasFailure)
        return { static_cast<verdict>(ran), static_cast<failure_kind>(kind),
            text.substr(failurePrefix.size() + static_cast<std::size_t>(consumed)),
            milliseconds { retryAfter } };
    const auto deadlineExceeded = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return mayHaveRun(deadlineExceeded ? failure_kind::timeout : failure_kind::unavailable,
        "the call to the peer failed: " + text);
}

} // namespace yuccachute
