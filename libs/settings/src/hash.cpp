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

namespace {

bool sameHash(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

/// Looks at every node and hash whatever it has found, so that the time taken says nothing about the key.
std::string findByHash(
    const settings_tree& tree, std::string_view prefix, std::string_view key, const std::string& hash)
{
    std::string owner;
    for (auto node = tree.nodes.lower_bound(prefix);
         node != tree.nodes.end() && node->first.starts_with(prefix); ++node) {
        const auto stored = node->second.values.find(key);
        if (stored == node->second.values.end())
            continue;
        for (auto candidate : splitText(stored->second, ',')) {
            if (sameHash(candidate, hash))
                owner = node->first.substr(prefix.size());
        }
    }
    return owner;
}

} // namespace

std::optional<std::string> findCustomerByKey(const settings_tree& tree, std::string_view key)
{
    auto owner = findByHash(tree, "customer/", "api_key_sha256", sha256Hex(key));
    if (owner.empty())
        return std::nullopt;
    return owner;
}

std::optional<operator_account> findOperatorByToken(const settings_tree& tree, std::string_view token)
{
    auto owner = findByHash(tree, "operator/", "token_sha256", sha256Hex(token));
    if (owner.empty())
        return std::nullopt;
    return operator_account { owner, resolveKey(tree, "operator/" + owner, "scope").value };
}

bool scopeCovers(std::string_view scope, std::string_view path)
{
    if (scope.empty() || scope == path)
        return true;
    return path.starts_with(scope) && path[scope.size()] == '/';
}

} // namespace yuccachute
