#include "settings/settings.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "text.h"

namespace yuccachute {

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest, &length, EVP_sha256(), nullptr);
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (unsigned i = 0; i < length; ++i) {
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 15];
    }
    return hex;
}

bool sameHash(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::pair<std::string, std::string>> listKeyHashes(const settings_tree& tree)
{
    constexpr std::string_view prefix = "customer/";
    std::vector<std::pair<std::string, std::string>> hashes;
    for (auto node = tree.nodes.lower_bound(prefix);
         node != tree.nodes.end() && node->first.starts_with(prefix); ++node) {
        const auto stored = node->second.values.find("api_key_sha256");
        if (stored == node->second.values.end())
            continue;
        for (auto hash : splitText(stored->second, ','))
            hashes.emplace_back(hash, node->first.substr(prefix.size()));
    }
    return hashes;
}

std::optional<operator_account> findOperatorByToken(const settings_tree& tree, std::string_view token)
{
    constexpr std::string_view prefix = "operator/";
    const auto hash = sha256Hex(token);
    std::string operatorName;
    // Compares with all operators even after a match, so that the run time reveals nothing about the token.
    for (auto node = tree.nodes.lower_bound(prefix);
         node != tree.nodes.end() && node->first.starts_with(prefix); ++node) {
        const auto stored = node->second.values.find("token_sha256");
        if (stored != node->second.values.end() && sameHash(stored->second, hash))
            operatorName = node->first.substr(prefix.size());
    }
    if (operatorName.empty())
        return std::nullopt;
    return operator_account { operatorName, resolveKey(tree, "operator/" + operatorName, "scope").value };
}

bool scopeCovers(std::string_view scope, std::string_view path)
{
    if (scope.empty() || scope == path)
        return true;
    return path.starts_with(scope) && path[scope.size()] == '/';
}

} // namespace yuccachute
